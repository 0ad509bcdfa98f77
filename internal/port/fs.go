package port

import "io"

// FS is a file system that holds data folders. A change of a name (creation, renaming,
// removal) is durable once SyncDir has returned for its folder, the content of a file once
// File.Sync has returned.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in a folder, sorted.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates a file for appending. It fails if the name exists.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
	// Lock takes the lock file at path; locked is false if another process holds it.
	Lock(path string) (unlock func() error, locked bool, err error)
}

// File is an open file of an FS.
type File interface {
	io.Writer
	Sync() error
	Close() error
}
