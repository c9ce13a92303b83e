package main

import (
	"encoding/binary"
	"net"
	"syscall"
)

const (
	// sockDiag is the netlink protocol that describes sockets, and sockDiagByFamily its request.
	sockDiag         = 4
	sockDiagByFamily = 20
	// diagRequestSize and diagAnswerSize are the sizes of the messages with their headers.
	diagRequestSize = 72
	diagAnswerSize  = 88
	// inodeOffset is where the inode is in an answer.
	inodeOffset = 84
)

// socketInode returns the inode of the socket with the given local and remote address, 0 if there is none.
// It asks the kernel for this socket: reading /proc/net/tcp takes 77 ms with 12,000 sockets, which stalled
// the hosts' proxies.
func socketInode(local, remote *net.TCPAddr) uint32 {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, sockDiag)
	if err != nil {
		return 0
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0
	}
	answer := make([]byte, 4*diagAnswerSize)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil || n < diagAnswerSize || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:])
}

// diagRequest returns the request for one TCP socket: a netlink header, then struct inet_diag_req_v2.
func diagRequest(local, remote *net.TCPAddr) []byte {
	r := make([]byte, diagRequestSize)
	binary.NativeEndian.PutUint32(r, diagRequestSize)
	binary.NativeEndian.PutUint16(r[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(r[6:], syscall.NLM_F_REQUEST)
	r[16], r[17] = syscall.AF_INET, syscall.IPPROTO_TCP
	// Sockets in any state.
	binary.NativeEndian.PutUint32(r[20:], ^uint32(0))
	binary.BigEndian.PutUint16(r[24:], uint16(local.Port))
	binary.BigEndian.PutUint16(r[26:], uint16(remote.Port))
	copy(r[28:], local.IP.To4())
	copy(r[44:], remote.IP.To4())
	// Without the cookie of an earlier answer.
	binary.NativeEndian.PutUint64(r[64:], ^uint64(0))
	return r
}
