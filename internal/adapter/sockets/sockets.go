// Package sockets opens TCP connections that notice a dead path by themselves.
// Something between two ends may lose track of a connection without a reset, and
// hosts behind a partition swallow packets: only probes and bounds of our own
// show it.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeEvery and probeCount find a dead path within about 3 s:
	// callers give a silent stream up after 2 s at the earliest, so sooner
	// would only cost packets.
	probeIdle  = 1 * time.Second
	probeEvery = 1 * time.Second
	probeCount = 2
	// userTimeout bounds how long written data may stay unacknowledged.
	userTimeout = 3 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// control sets the bound on unacknowledged data before a socket is used.
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

// ListenConfig returns how listeners are opened.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
}

// Dialer returns how connections are opened.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, Control: control, KeepAliveConfig: keepAlive}
}
