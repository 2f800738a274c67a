package pool

import "sync"

// bodyWrite is the write of a request body that goes on while the response is read, or that failed
// before. The zero value is a write that has not ended. It is safe for concurrent use.
type bodyWrite struct {
	mu    sync.Mutex
	ended bool
	err   error
	then  []func()
}

// end records the result of the write.
func (w *bodyWrite) end(err error) {
	w.mu.Lock()
	w.ended, w.err = true, err
	then := w.then
	w.then = nil
	w.mu.Unlock()
	for _, f := range then {
		f()
	}
}

// whenEnded calls f once the write has ended.
func (w *bodyWrite) whenEnded(f func()) {
	w.mu.Lock()
	if !w.ended {
		w.then = append(w.then, f)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	f()
}

// wait waits until the write has ended and returns its error.
func (w *bodyWrite) wait() error {
	ended := make(chan struct{})
	w.whenEnded(func() { close(ended) })
	<-ended
	return w.result()
}

// result returns errIncompleteWrite if the write has not ended, and otherwise its error.
func (w *bodyWrite) result() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		return errIncompleteWrite
	}
	return w.err
}
