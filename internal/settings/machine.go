package settings

import (
	"errors"
	"fmt"

	"github.com/pepperhatch/pepperhatch/internal/port"
)

// Machine has the settings of the size of a process's machine.
type Machine struct {
	MemoryMB int `long:"memory-mb" env:"PEPPERHATCH_MEMORY_MB" description:"memory of the machine, in MB, from which limits are worked out; by default what the kernel reports"`
	MaxFDs   int `long:"max-fds" env:"PEPPERHATCH_MAX_FDS" description:"most open descriptors; by default the process's limit"`
}

// minFDs is the smallest number of descriptors that a process can serve with.
const minFDs = 256

// check returns all invalid settings as one joined error.
func (ma Machine) check() error {
	var errs []error
	if ma.MemoryMB != 0 && ma.MemoryMB < port.MinMemory>>20 {
		errs = append(errs, fmt.Errorf("--memory-mb: %d: want at least %d", ma.MemoryMB, port.MinMemory>>20))
	}
	if ma.MaxFDs != 0 && ma.MaxFDs < minFDs {
		errs = append(errs, fmt.Errorf("--max-fds: %d: want at least %d", ma.MaxFDs, minFDs))
	}
	return errors.Join(errs...)
}

// Size returns the size of the machine: what is set, and for the rest what the kernel reports.
func (ma Machine) Size() (port.Machine, error) {
	if err := ma.check(); err != nil {
		return port.Machine{}, err
	}
	size := port.Machine{Memory: int64(ma.MemoryMB) << 20, Descriptors: ma.MaxFDs}
	if size.Memory > 0 && size.Descriptors > 0 {
		return size, nil
	}
	found, err := port.DetectMachine()
	if err != nil {
		return port.Machine{}, fmt.Errorf("set --memory-mb and --max-fds: %w", err)
	}
	if size.Memory == 0 {
		size.Memory = found.Memory
	}
	if size.Descriptors == 0 {
		size.Descriptors = found.Descriptors
	}
	return size, nil
}
