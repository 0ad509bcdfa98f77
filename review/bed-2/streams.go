package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	streamClients = 8
	streamEvents  = 40 // of 100 ms each
)

// stream is what a requester saw of one stream over its tries.
type stream struct {
	first, id string
	events    []string // data of each event
	lastID    string
	complete  bool
	ends      []string
}

// data returns the part of an event's data after a word.
func data(event, word string) string {
	f := strings.Fields(event)
	for i := range f {
		if f[i] == word && i+1 < len(f) {
			return f[i+1]
		}
	}
	return ""
}

// try sends one try of a stream and reads it to its end. It returns whether it ended whole by its framing.
func (b *bed) try(s *stream, front, query string) {
	nc, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		s.ends = append(s.ends, err.Error())
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(12 * time.Second))
	fields := ""
	if s.lastID != "" {
		fields = fmt.Sprintf("Last-Event-Id: %s\r\nResumes: %s\r\n", s.lastID, s.first)
	}
	b.rec.printf("requester sends %s to %s, last event %q", s.id, front, s.lastID)
	if _, err := fmt.Fprintf(nc, "POST /chat/x?%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 12000\r\n%sContent-Length: 2\r\n\r\n{}", query, host, s.id, fields); err != nil {
		s.ends = append(s.ends, err.Error())
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		s.ends = append(s.ends, err.Error())
		return
	}
	if resp.StatusCode != http.StatusOK {
		s.ends = append(s.ends, fmt.Sprintf("status %d, retry after %q", resp.StatusCode, resp.Header.Get("Retry-After")))
		return
	}
	if s.lastID == "" {
		s.first = s.id
	}
	lines := bufio.NewScanner(resp.Body)
	id := ""
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.events, s.lastID = append(s.events, v), id
		}
	}
	if lines.Err() != nil {
		s.ends = append(s.ends, "broken off: "+lines.Err().Error())
		return
	}
	s.complete = true
	s.ends = append(s.ends, fmt.Sprintf("complete by its framing (codings %v)", resp.TransferEncoding))
}

// sameID restarts servers in place with another version of their software, under the id that they had.
func sameID(b *bed, trouble bool) (bool, error) {
	born := time.Now().UnixMilli()
	old, err := b.startServer(31, "i-31", "v1", "")
	if err != nil {
		return false, err
	}
	b.setList(b.entryOf(31, "i-31", "v1", born))
	if err := b.startSystem(2); err != nil {
		return false, err
	}
	if err := b.deploy(config(route("chat", "/chat/", "streaming", 12000, 2, true)), 2); err != nil {
		return false, err
	}
	streams := make([]*stream, streamClients)
	var wg sync.WaitGroup
	for i := range streamClients {
		streams[i] = &stream{id: fmt.Sprintf("stream%d", i)}
		wg.Go(func() {
			s := streams[i]
			query := fmt.Sprintf("events=%d", streamEvents)
			b.try(s, b.front(i%2), query)
			for try := 1; try <= 3 && !s.complete; try++ {
				time.Sleep(retryPause)
				s.id = fmt.Sprintf("stream%d-%d", i, try)
				b.try(s, b.front((i+try)%2), query)
			}
		})
	}
	if trouble {
		time.Sleep(2 * time.Second)
		b.rec.printf("server i-31 is stopped and started again as version v2")
		if err := old.Process.Kill(); err != nil {
			return false, err
		}
		_ = old.Wait()
		time.Sleep(restartTime)
		restarted := time.Now().UnixMilli()
		if _, err := b.startServer(31, "i-31", "v2", ""); err != nil {
			return false, err
		}
		b.setList(b.entryOf(31, "i-31", "v2", restarted))
	}
	wg.Wait()
	mixed := 0
	for i, s := range streams {
		versions := map[string]int{}
		for _, e := range s.events {
			versions[data(e, "version")]++
		}
		if len(versions) > 1 {
			mixed++
		}
		b.rec.printf("requester %d: %d events, by version %v, complete %v, tries ended: %s", i, len(s.events), versions, s.complete, strings.Join(s.ends, "; "))
	}
	fmt.Printf("%d of %d streams hold events of two versions\n", mixed, streamClients)
	return mixed > 2, nil
}

const (
	// retryPause is the time until a requester tries again, and restartTime that in which the server
	// starts anew.
	retryPause  = 400 * time.Millisecond
	restartTime = 200 * time.Millisecond
)

const (
	// notice is the time between the notice of a removal and the removal.
	notice = 2 * time.Second
	// Of poolServers servers one is removed.
	poolServers   = 7
	poolStreams   = 42
	removedNumber = 31
)

// removedServer removes a server at short notice while it sends streams that have neither a length nor
// chunks.
func removedServer(b *bed, trouble bool) (bool, error) {
	leaves := filepath.Join(b.dir, "leaves")
	var list []listed
	var going *exec.Cmd
	for i := range poolServers {
		n, file := removedNumber+i, ""
		if i == 0 {
			file = leaves
		}
		id := fmt.Sprintf("i-%d", n)
		cmd, err := b.startServer(n, id, "v1", file)
		if err != nil {
			return false, err
		}
		if i == 0 {
			going = cmd
		}
		list = append(list, b.entryOf(n, id, "v1", time.Now().UnixMilli()))
	}
	b.setList(list...)
	if err := b.startSystem(2); err != nil {
		return false, err
	}
	if err := b.deploy(config(route("chat", "/chat/", "streaming", 12000, 1, false)), 2); err != nil {
		return false, err
	}
	streams := make([]*stream, poolStreams)
	var wg sync.WaitGroup
	for i := range poolStreams {
		streams[i] = &stream{id: fmt.Sprintf("stream%d", i)}
		wg.Go(func() { b.try(streams[i], b.front(i%2), fmt.Sprintf("events=%d&framing=none", streamEvents)) })
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		b.rec.printf("the platform lists i-%d as draining, %v remain", removedNumber, notice)
		if err := os.WriteFile(leaves, nil, 0o600); err != nil {
			return false, err
		}
		list[0].State, list[0].Remaining = "draining", float64(notice.Milliseconds())
		b.setList(list...)
		time.Sleep(notice)
		b.rec.printf("the time has run out: server i-%d is gone (SIGKILL)", removedNumber)
		if err := going.Process.Kill(); err != nil {
			return false, err
		}
	}
	wg.Wait()
	short, whole := 0, 0
	for i, s := range streams {
		switch {
		case s.complete && len(s.events) < streamEvents:
			short++
		case s.complete:
			whole++
		}
		server := ""
		if len(s.events) > 0 {
			server = data(s.events[0], "server")
		}
		b.rec.printf("requester %d: %d of %d events from server %s, complete %v, ended: %s", i, len(s.events), streamEvents, server, s.complete, strings.Join(s.ends, "; "))
	}
	fmt.Printf("%d of %d streams ended as complete before their last event, %d are whole\n", short, poolStreams, whole)
	return short > 0, nil
}
