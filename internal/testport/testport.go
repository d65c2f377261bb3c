// Package testport reserves ports of 127.0.0.1 for servers that get their
// address before they listen.
package testport

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
)

// Reserve takes a free port and keeps it until release is called. A port that
// was found free and let go may become the near end of anybody's connection
// before the server listens; this one stays bound, without listening, which
// lets only a server with SO_REUSEADDR (as package net sets it) in.
func Reserve() (addr string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserving a port: %w", err)
	}
	release = sync.OnceFunc(func() { _ = syscall.Close(fd) })
	syscall.CloseOnExec(fd)
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	in4, ok := at.(*syscall.SockaddrInet4)
	if err != nil || !ok {
		release()
		return "", nil, fmt.Errorf("reserving a port: %w", err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(in4.Addr), uint16(in4.Port)).String(), release, nil
}
