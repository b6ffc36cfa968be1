package standin

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// portBlockSize is how many ports a block has. The last block of the range may have fewer.
const portBlockSize = 400

// portBlocks divides the range of ports into blocks, each of which at most one process of the machine holds. A process
// holds a block by a lock on the block's file. The kernel releases the lock when the process ends, in whichever way.
// The files are empty and stay in the directory: a process that removed one could let two others lock the same block.
type portBlocks struct {
	directory string              // of the blocks' files
	held      map[uint32]*os.File // the locked files, by the number of the block; open until the process ends
}

// next returns the position that follows a position in a range of so many ports, in a block that this process holds.
// Blocks that other processes hold are passed over. If no block can be held, it returns the following position.
func (b *portBlocks) next(position, ports uint32) uint32 {
	following := (position + 1) % ports
	blocks := (ports + portBlockSize - 1) / portBlockSize
	block := following / portBlockSize
	if b.hold(block) {
		return following
	}
	for range blocks - 1 {
		block = (block + 1) % blocks
		if b.hold(block) {
			return block * portBlockSize
		}
	}
	return following
}

// hold returns whether this process holds a block. It takes the block if no process holds it.
func (b *portBlocks) hold(block uint32) bool {
	if b.held[block] != nil {
		return true
	}
	file, err := b.open(block)
	if err != nil {
		return false
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return false
	}
	b.held[block] = file
	return true
}

// open opens the file of a block. It creates the file only if there is none: the kernel may refuse to open another
// user's file for creation in a directory that all users share.
func (b *portBlocks) open(block uint32) (*os.File, error) {
	path := filepath.Join(b.directory, fmt.Sprintf("robinlab-ports-%02d.lock", block))
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		file, err = os.OpenFile(path, os.O_RDONLY|os.O_CREATE, 0o644)
	}
	return file, err
}
