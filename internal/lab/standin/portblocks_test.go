package standin

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// walkStartEnv makes this test binary print the addresses of a walk that begins at the given position.
	walkStartEnv = "STANDIN_TEST_WALK_START"
	// walkAddresses is how many addresses a process of walkStartEnv prints: more than a block of ports has.
	walkAddresses = 1000
	// walkHost is another host than the labs have: the walks of this test are to take no port of a lab.
	walkHost = "127.0.0.2"
)

// TestFreeAddress_WalkInOwnProcess is the process that startWalk starts: it prints addresses, and lives until its
// standard input ends.
func TestFreeAddress_WalkInOwnProcess(t *testing.T) {
	start, err := strconv.ParseUint(os.Getenv(walkStartEnv), 10, 32)
	if err != nil {
		t.Skip("startWalk did not start this process")
	}
	nextPort.Store(uint32(start))
	for range walkAddresses {
		address, err := FreeAddress(walkHost)
		require.NoError(t, err)
		fmt.Println(address)
	}
	io.Copy(io.Discard, os.Stdin)
}

// startWalk starts a process that calls FreeAddress from the position start on, with a directory for temporary files.
// It returns the addresses; the process lives until the test ends.
func startWalk(t *testing.T, start uint32, directory string) []string {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run=^TestFreeAddress_WalkInOwnProcess$")
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", walkStartEnv, start), "TMPDIR="+directory)
	stdin, err := command.StdinPipe()
	require.NoError(t, err)
	stdout, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		stdin.Close()
		io.Copy(io.Discard, stdout)
		assert.NoError(t, command.Wait())
	})
	var addresses []string
	lines := bufio.NewScanner(stdout)
	for len(addresses) < walkAddresses && lines.Scan() {
		addresses = append(addresses, lines.Text())
	}
	require.Len(t, addresses, walkAddresses)
	return addresses
}

// Two labs run side by side, and the walks of both begin at the same port: neither may get a port that the other one
// got, since no node listens there yet.
func TestFreeAddress_ProcessesSideBySide(t *testing.T) {
	if firstEphemeralPort() <= minPort+minPortRange {
		t.Skip("there are too few ports below the kernel's own: FreeAddress does not walk through them")
	}
	const start = 5000
	directory := t.TempDir() // none but the two processes hold blocks there
	processOf := map[string]int{}
	both := 0
	for process := 1; process <= 2; process++ {
		for _, address := range startWalk(t, start, directory) {
			if other := processOf[address]; other != 0 && other != process {
				both++
			}
			processOf[address] = process
		}
	}
	assert.Zero(t, both, "addresses that both processes got, of %d each", walkAddresses)
}

// newPortBlocks returns blocks whose files are in a directory. Two of one directory are like two processes: a lock
// belongs to the file as it was opened.
func newPortBlocks(t *testing.T, directory string) *portBlocks {
	t.Helper()
	blocks := &portBlocks{directory: directory, held: map[uint32]*os.File{}}
	t.Cleanup(blocks.release)
	return blocks
}

// release closes the files of the held blocks, as the kernel does when a process ends.
func (b *portBlocks) release() {
	for block, file := range b.held {
		file.Close()
		delete(b.held, block)
	}
}

// walk returns the positions that follow a position in a range of so many ports.
func (b *portBlocks) walk(position, ports uint32, steps int) []uint32 {
	var positions []uint32
	for range steps {
		position = b.next(position, ports)
		positions = append(positions, position)
	}
	return positions
}

// upTo returns the positions from one up to, without, another.
func upTo(from, to uint32) []uint32 {
	var positions []uint32
	for ; from < to; from++ {
		positions = append(positions, from)
	}
	return positions
}

// The range has three blocks, of which the last one is short.
func TestPortBlocks_Next(t *testing.T) {
	const size, ports = portBlockSize, 2*portBlockSize + 10
	directory := t.TempDir()
	first, second := newPortBlocks(t, directory), newPortBlocks(t, directory)
	assert.Equal(t, upTo(size-5, size), first.walk(size-6, ports, 5), "it begins within a block")
	assert.Equal(t, []uint32{size}, second.walk(size-6, ports, 1), "it passes over the block that is held")
	assert.Equal(t, upTo(2*size, ports), first.walk(size-1, ports, 10), "and so does the first one")
	assert.Equal(t, upTo(0, size), first.walk(ports-1, ports, size), "at the range's end it goes on at the beginning")
	assert.Equal(t, []uint32{2 * size}, first.walk(size-1, ports, 1), "no further block is free")
	assert.Equal(t, upTo(size+1, 2*size), second.walk(size, ports, size-1))
	assert.Equal(t, []uint32{size}, second.walk(2*size-1, ports, 1), "it goes through its only block again")
	first.release()
	assert.Equal(t, []uint32{2 * size}, second.walk(2*size-1, ports, 1), "the first one has ended")
}

func TestPortBlocks_NoneToHold(t *testing.T) {
	const ports = 2 * portBlockSize
	directory := t.TempDir()
	all := newPortBlocks(t, directory)
	all.walk(ports-1, ports, ports)
	require.Len(t, all.held, 2)
	for name, blocks := range map[string]*portBlocks{
		"other processes hold all": newPortBlocks(t, directory),
		"no directory":             newPortBlocks(t, directory+"/none"),
	} {
		assert.Equal(t, upTo(0, ports), blocks.walk(ports-1, ports, ports), name)
		assert.Empty(t, blocks.held, name)
	}
}

// The kernel releases the blocks of a process that is killed. A program that the process started does not keep them.
func TestPortBlocks_CloseOnExec(t *testing.T) {
	blocks := newPortBlocks(t, t.TempDir())
	require.True(t, blocks.hold(0))
	flags, err := unix.FcntlInt(blocks.held[0].Fd(), unix.F_GETFD, 0)
	require.NoError(t, err)
	assert.NotZero(t, flags&unix.FD_CLOEXEC)
}
