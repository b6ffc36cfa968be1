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

// The kernel maps code into each process by which it reads clocks without a system call. In a traced process that code is replaced by a
// call of the kernel and, for CLOCK_REALTIME alone, an addition of seconds that the tracer writes. The monotonic clock is untouched.

// clockCode is clock_gettime: the system call, and seconds from clockOffset added to the result if the clock is CLOCK_REALTIME (0).
var clockCode = []byte{
	0xb8, 0xe4, 0x00, 0x00, 0x00, // mov $228, %eax
	0x0f, 0x05, // syscall
	0x85, 0xff, // test %edi, %edi
	0x75, 0x0a, // jne over the addition
	0x48, 0x8b, 0x0d, 0x07, 0x00, 0x00, 0x00, // mov 7(%rip), %rcx: clockOffset, from the end of this instruction
	0x48, 0x01, 0x0e, // add %rcx, (%rsi)
	0xc3, // ret
}

// clockOffset is where the seconds lie behind the function's begin: aligned, so that a write is seen whole.
const clockOffset = 25

// auxvVDSO is the entry of the auxiliary vector that tells where the mapping begins.
const auxvVDSO = 33

// maxVDSO bounds what is read of the mapping.
const maxVDSO = 64 << 10

// clock is a process's patched clock.
type clock struct {
	memory  *os.File
	seconds int64 // where the offset lies
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
	at, err := findClock(memory, base)
	if err == nil {
		code := append(bytes.Clone(clockCode), make([]byte, clockOffset+8-len(clockCode))...)
		_, err = memory.WriteAt(code, at)
	}
	if err != nil {
		memory.Close()
		return nil, fmt.Errorf("clock: %w", err)
	}
	return &clock{memory, at + clockOffset}, nil
}

// step sets the wall clock against the machine's.
func (c *clock) step(by time.Duration) error {
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], uint64(int64(by/time.Second)))
	_, err := c.memory.WriteAt(text[:], c.seconds)
	return err
}

func vdsoBase(pid int) (int64, error) {
	auxv, err := os.ReadFile(fmt.Sprintf("/proc/%d/auxv", pid))
	if err != nil {
		return 0, err
	}
	for ; len(auxv) >= 16; auxv = auxv[16:] {
		if binary.LittleEndian.Uint64(auxv) == auxvVDSO {
			return int64(binary.LittleEndian.Uint64(auxv[8:])), nil
		}
	}
	return 0, errors.New("the process has no vDSO")
}

// findClock finds the function in the mapping.
func findClock(memory *os.File, base int64) (int64, error) {
	image := make([]byte, maxVDSO)
	n, err := memory.ReadAt(image, base)
	if n == 0 {
		return 0, err
	}
	f, err := elf.NewFile(bytes.NewReader(image[:n]))
	if err != nil {
		return 0, err
	}
	symbols, err := f.DynamicSymbols()
	if err != nil {
		return 0, err
	}
	for _, s := range symbols {
		if s.Name != "__vdso_clock_gettime" {
			continue
		}
		if s.Size < clockOffset+8 {
			return 0, fmt.Errorf("clock_gettime has %d bytes, too few to be replaced", s.Size)
		}
		return base + int64(s.Value), nil
	}
	return 0, errors.New("no clock_gettime in the vDSO")
}
