package httpwire

// MemoryReserver limits the memory of bodies that are larger than a Reader's first buffer. A body for which nothing can
// be reserved is passed on as a stream, however small it is.
type MemoryReserver interface {
	// Reserve reserves n bytes, or returns false.
	Reserve(n int) bool
	// Release returns reserved bytes.
	Release(n int)
}

// mayBuffer reports whether a body of n bytes may be held in the buffer, and reserves the memory for that. Where larger
// bodies are not streamed a body is bounded by its size alone.
func (r *Reader) mayBuffer(n int) bool {
	if n > r.sizes.MaxBody {
		return false
	}
	return r.sizes.MaxStream == 0 || r.reserve(n)
}

// reserve reserves what a body of n bytes needs beyond the first buffer, and what is reserved for it already.
func (r *Reader) reserve(n int) bool {
	missing := n - r.sizes.BufferSize - r.reserved
	if r.Memory == nil || missing <= 0 {
		return true
	}
	if !r.Memory.Reserve(missing) {
		return false
	}
	r.reserved += missing
	return true
}

// trimReservation releases what is reserved beyond the needs of a body of n bytes.
func (r *Reader) trimReservation(n int) {
	excess := r.reserved - max(0, n-r.sizes.BufferSize)
	if excess > 0 {
		r.reserved -= excess
		r.Memory.Release(excess)
	}
}

// takeReservation returns how many bytes are reserved for a message that was read. Whoever gets the message releases
// them. The reservation for one that could not be read is released here.
func (r *Reader) takeReservation(err error) int {
	reserved := r.reserved
	r.reserved = 0
	if err != nil && reserved > 0 {
		r.Memory.Release(reserved)
		return 0
	}
	return reserved
}
