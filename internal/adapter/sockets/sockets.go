// Package sockets opens TCP connections that detect a dead path. A middlebox may
// drop the state of a connection without a reset, and packets to a partitioned host
// are lost; only keep-alive probes and a bound on unacknowledged data reveal either.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeEvery and probeCount detect a dead path within about 3 s.
	// Callers abandon a silent stream after 2 s at the earliest, so faster
	// probes would only cost packets.
	probeIdle  = 1 * time.Second
	probeEvery = 1 * time.Second
	probeCount = 2
	// userTimeout bounds how long written data may stay unacknowledged.
	userTimeout = 3 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// control sets TCP_USER_TIMEOUT before a socket is used.
func control(_, _ string, c syscall.RawConn) error {
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

const (
	// socketBuffer is the size in bytes of each buffer of a bounded socket. At a round trip of 5 ms it
	// still allows 12 MB/s.
	socketBuffer = 64 << 10
	// ReceiveBytes and SendBytes are what the kernel holds at most of a bounded socket, in bytes: it
	// doubles a buffer for its own bookkeeping.
	ReceiveBytes = 2 * socketBuffer
	SendBytes    = 2 * socketBuffer
)

// boundedControl is control, and bounds what the kernel holds: by itself it lets a buffer grow to
// megabytes.
func boundedControl(network, address string, c syscall.RawConn) error {
	if err := control(network, address, c); err != nil {
		return err
	}
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer))
	})
	return errors.Join(cerr, err)
}

// BoundedListenConfig is ListenConfig for clients outside the system: the kernel holds no more than
// ReceiveBytes and SendBytes for each connection.
func BoundedListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: boundedControl, KeepAliveConfig: keepAlive}
}

// BoundedDialer is Dialer with the same bounds: a caller that does not read its answer must not let
// megabytes of it pile up on the endpoint's side.
func BoundedDialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, Control: boundedControl, KeepAliveConfig: keepAlive}
}

// Unacknowledged returns the bytes written to a connection that the other end has not acknowledged, 0 if the
// system does not tell.
func Unacknowledged(nc net.Conn) int {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	if err != nil {
		return 0
	}
	return n
}

// ListenConfig returns a net.ListenConfig with these options.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
}

// Dialer returns a net.Dialer with these options and the given dial timeout.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, Control: control, KeepAliveConfig: keepAlive}
}
