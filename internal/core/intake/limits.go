package intake

// Shares of a process's memory and descriptors that its clients may use.
const (
	// memoryShare is the part of the memory for requests and answers. The collector may let the heap
	// double, and the process needs memory of its own.
	memoryShare = 0.3
	// connsMemoryShare is the part of the memory for connections without a request.
	connsMemoryShare = 0.15
	// connBytes is what a connection without a request takes: its stack, its buffers and its socket.
	connBytes = 16 << 10
	// filesShare is the part of the descriptors for clients' connections. The rest is for endpoints,
	// control hosts, operators, logs and the disk.
	filesShare = 0.7
	// defaultMemory is assumed for a process without a known memory limit.
	defaultMemory = 1 << 30
	minConns      = 8
	// sideMemoryShare and sideFilesShare are the parts for clients of a listener that serves few requests
	// of few bytes, such as readiness and metrics.
	sideMemoryShare = 0.05
	sideFilesShare  = 0.05
	maxSideConns    = 128
	// peerFilesShare is the part of the descriptors for the internal protocol of a process that has other
	// listeners too.
	peerFilesShare = 0.5
)

// LimitsOf returns the limits for the clients of a process with an amount of memory in bytes and a number
// of descriptors for sockets; 0 where they are not known.
func LimitsOf(memory int64, files int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	l := Limits{Bytes: int64(float64(memory) * memoryShare), Conns: int(float64(memory) * connsMemoryShare / connBytes)}
	if files > 0 {
		l.Conns = min(l.Conns, int(float64(files)*filesShare))
	}
	l.Conns = max(l.Conns, minConns)
	return l
}

// SideLimitsOf returns the limits for a listener that serves few requests of few bytes beside the one that
// the process is for.
func SideLimitsOf(memory int64, files int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	return Limits{Bytes: int64(float64(memory) * sideMemoryShare), Conns: SideConns(files)}
}

// PeerLimitsOf returns the limits for the internal protocol of a process that has other listeners too.
func PeerLimitsOf(memory int64, files int) Limits {
	l := LimitsOf(memory, files)
	if files > 0 {
		l.Conns = max(min(l.Conns, int(float64(files)*peerFilesShare)), minConns)
	}
	return l
}

// SideConns returns the connections for a listener that few clients use.
func SideConns(files int) int {
	if files <= 0 {
		return maxSideConns
	}
	return min(max(int(float64(files)*sideFilesShare), minConns), maxSideConns)
}

const (
	// headFactor is how many bytes the parsed head of a request takes for each byte of its text.
	headFactor = 3
	// fieldBytes is what a field takes beside its text: an entry of a map, a slice and two strings.
	fieldBytes = 160
)

// HeadBytes returns what the head of a request takes when it has been parsed, for a text of a size with a
// number of fields.
func HeadBytes(size, fields int) int64 { return int64(headFactor*size + fieldBytes*fields) }
