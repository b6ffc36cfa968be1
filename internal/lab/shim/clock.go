package shim

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"
)

// The kernel maps code into each process, the vDSO, by which it reads clocks without a system call. In a traced process
// its clock_gettime is replaced by the system call and, for CLOCK_REALTIME alone, the addition of seconds that the
// tracer writes.

const (
	// secondsSize is their size.
	secondsSize = 8
	// auxvVDSO is the entry of the auxiliary vector with the vDSO's address.
	auxvVDSO = 33
	// auxvEntry is the size of an entry: two words.
	auxvEntry = 16
	// maxVDSO bounds what is read of the vDSO.
	maxVDSO = 64 << 10
)

// Errors of a process whose clock can't be replaced.
var (
	errNoVDSO  = errors.New("the process has no vDSO")
	errNoClock = errors.New("no clock_gettime in the vDSO")
)

// clock is a process's replaced clock.
type clock struct {
	memory    *os.File
	secondsAt int64
}

// patchClock replaces a stopped process's clock_gettime.
func patchClock(pid int) (*clock, error) {
	base, err := vdsoBase(pid)
	if err != nil {
		return nil, err
	}
	memory, err := os.OpenFile(fmt.Sprintf("/proc/%d/mem", pid), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	function, err := findClock(memory, base)
	if err == nil {
		code := make([]byte, clockOffset+secondsSize)
		copy(code, clockCode)
		_, err = memory.WriteAt(code, function)
	}
	if err != nil {
		memory.Close()
		return nil, fmt.Errorf("clock: %w", err)
	}
	return &clock{memory: memory, secondsAt: function + clockOffset}, nil
}

// step sets the wall clock against the machine's.
func (c *clock) step(by time.Duration) error {
	var seconds [secondsSize]byte
	binary.LittleEndian.PutUint64(seconds[:], uint64(int64(by/time.Second)))
	_, err := c.memory.WriteAt(seconds[:], c.secondsAt)
	return err
}

// vdsoBase is the address of a process's vDSO.
func vdsoBase(pid int) (int64, error) {
	auxv, err := os.ReadFile(fmt.Sprintf("/proc/%d/auxv", pid))
	if err != nil {
		return 0, err
	}
	for ; len(auxv) >= auxvEntry; auxv = auxv[auxvEntry:] {
		if binary.LittleEndian.Uint64(auxv) == auxvVDSO {
			return int64(binary.LittleEndian.Uint64(auxv[auxvEntry/2:])), nil
		}
	}
	return 0, errNoVDSO
}

// findClock finds the function's address in the vDSO.
func findClock(memory *os.File, base int64) (int64, error) {
	image := make([]byte, maxVDSO)
	n, err := memory.ReadAt(image, base)
	if n == 0 {
		return 0, err
	}
	vdso, err := elf.NewFile(bytes.NewReader(image[:n]))
	if err != nil {
		return 0, err
	}
	symbols, err := vdso.DynamicSymbols()
	if err != nil {
		return 0, err
	}
	for _, symbol := range symbols {
		if symbol.Name != clockSymbol {
			continue
		}
		if symbol.Size < clockOffset+secondsSize {
			return 0, fmt.Errorf("clock_gettime has %d bytes, too few to be replaced", symbol.Size)
		}
		return base + int64(symbol.Value), nil
	}
	return 0, errNoClock
}
