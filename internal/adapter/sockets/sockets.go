// Package sockets opens TCP connections that detect a dead path. A middlebox may
// drop the state of a connection without a reset, and packets to a partitioned host
// are lost; only keep-alive probes and a bound on unacknowledged data reveal either.
package sockets

import (
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

// ListenConfig returns a net.ListenConfig with these options.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
}

// Dialer returns a net.Dialer with these options and the given dial timeout.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: timeout, Control: control, KeepAliveConfig: keepAlive}
}
