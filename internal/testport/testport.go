// Package testport reserves ports of 127.0.0.1 for test servers whose address
// must be known before they listen.
package testport

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
)

// Reserve reserves a free port until release is called. The port is bound
// without listening, so that it can't become the local port of a connection
// before the server listens. A server with SO_REUSEADDR, which package net
// sets, can listen on it.
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
