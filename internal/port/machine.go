package port

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
)

// Machine is the size of the machine that a process runs on, or of its part of one.
type Machine struct {
	// Memory is in bytes, Descriptors the number of files and sockets that may be open.
	Memory      int64
	Descriptors int
}

// Parts of a machine. Connections and requests together take up to seven eighths of what a process
// does not need itself; the rest is for its growth.
const (
	// processBytes is what a process needs without requests.
	processBytes = 32 << 20
	// connBytes is the most that a connection takes without a body: the largest header while it is
	// read, the buffers of the connection, and two goroutines.
	connBytes = 64 << 10
	// callerPart and peerPart are the parts for connections of callers and of other hosts,
	// callerBytesPart and peerBytesPart those for their requests, as divisors.
	callerPart      = 4
	peerPart        = 8
	callerBytesPart = 4
	peerBytesPart   = 8
	// descriptorPart is the part of the descriptors that each of these kinds of connections may
	// take, as a divisor. The others are for the connections that the process opens.
	descriptorPart = 4
	// minConns is the least limit of connections.
	minConns = 16
)

// AuxConns is the limit of connections at an address that only few clients use, such as that of
// readiness checks or of metrics.
const AuxConns = 32

// MinMemory is the smallest memory, in bytes, that a process can serve with.
const MinMemory = 64 << 20

// spare returns the memory that a process does not need itself, in bytes.
func (ma Machine) spare() int64 { return max(ma.Memory-processBytes, ma.Memory/4) }

// conns returns the limit of connections that may take a part of the memory.
func (ma Machine) conns(part int64) int {
	return max(min(int(ma.spare()/part/connBytes), ma.Descriptors/descriptorPart), minConns)
}

// CallerConns returns the limit of connections of callers.
func (ma Machine) CallerConns() int { return ma.conns(callerPart) }

// PeerConns returns the limit of connections of other hosts.
func (ma Machine) PeerConns() int { return ma.conns(peerPart) }

// CallerBytes returns the limit of bytes that requests of callers hold, without their connections.
func (ma Machine) CallerBytes() int64 { return ma.spare() / callerBytesPart }

// PeerBytes returns the limit of bytes that requests of other hosts hold, without their connections.
func (ma Machine) PeerBytes() int64 { return ma.spare() / peerBytesPart }

// CollectorLimit returns the memory limit, in bytes, at which the garbage collector works harder.
// It is below the machine's memory, as it does not count the program itself and its sockets.
func (ma Machine) CollectorLimit() int64 { return ma.Memory * 3 / 4 }

// Part returns one of n equal parts of the machine.
func (ma Machine) Part(n int) Machine {
	return Machine{Memory: ma.Memory / int64(n), Descriptors: ma.Descriptors / n}
}

// DetectMachine returns the machine's memory as the kernel reports it and the process's limit of
// descriptors.
func DetectMachine() (Machine, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Machine{}, fmt.Errorf("read the size of the memory: %w", err)
	}
	kb, err := memTotal(data)
	if err != nil {
		return Machine{}, err
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return Machine{}, fmt.Errorf("read the limit of descriptors: %w", err)
	}
	return Machine{Memory: kb << 10, Descriptors: int(min(lim.Cur, maxDescriptors))}, nil
}

// maxDescriptors is the highest limit of descriptors that is used; a process may have no limit.
const maxDescriptors = 1 << 20

// memTotal returns the size of the memory in a file such as /proc/meminfo, in units of 1,024 bytes.
func memTotal(data []byte) (int64, error) {
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) < 2 || string(fields[0]) != "MemTotal:" {
			continue
		}
		kb, err := strconv.ParseInt(string(fields[1]), 10, 64)
		if err != nil || kb <= 0 {
			return 0, fmt.Errorf("size of the memory: invalid number %.20q", fields[1])
		}
		return kb, nil
	}
	return 0, fmt.Errorf("size of the memory: no MemTotal in %d bytes", len(data))
}
