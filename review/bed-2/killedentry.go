package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// killEntries entries and three control hosts: the one that is killed is less than a tenth of them.
	killEntries  = 8
	largeClients = 4
	largeBody    = 600_000
	largePiece   = 30_000
	largePause   = 200 * time.Millisecond
	// killAfter is when the entry is killed, after the requests were sent: some half of each answer is through.
	killAfter = 2500 * time.Millisecond
)

// killedEntry kills an entry while it passes on answers that have neither a length nor chunks.
func killedEntry(b *bed, trouble bool) (bool, error) {
	l, err := net.Listen("tcp", b.addr(31, portServer))
	if err != nil {
		return false, err
	}
	s := &serverConfig{id: "i-sound", version: "v1", log: b.rec.printf, answer: func(s *serverConfig, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if _, err := io.WriteString(c, s.head(id, "Connection: close\r\n")); err != nil {
			return false
		}
		all := body(id, largeBody)
		for len(all) > 0 {
			if _, err := c.Write(all[:largePiece]); err != nil {
				return false
			}
			all = all[largePiece:]
			time.Sleep(largePause)
		}
		s.log("server has written all of %s and closes the channel", id)
		return false
	}}
	go s.serve(l)
	b.setList(b.entryOf(31, "i-sound", "v1", time.Now().UnixMilli()))
	if err := b.startSystem(killEntries); err != nil {
		return false, err
	}
	if err := b.deploy(config(route("export", "/export/", "idempotent", 12000, 1, false)), killEntries); err != nil {
		return false, err
	}
	results := make([]string, largeClients)
	broken := make([]bool, largeClients)
	errs := make([]error, largeClients)
	var wg sync.WaitGroup
	for i := range largeClients {
		wg.Go(func() { results[i], broken[i], errs[i] = b.fetch(fmt.Sprintf("large%d", i), b.front(0)) })
	}
	if trouble {
		time.Sleep(killAfter)
		b.rec.printf("SIGKILL of %s", b.entryNode(0).name)
		if err := b.entryNode(0).cmd.Process.Signal(syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	wg.Wait()
	n := 0
	for i, r := range results {
		if errs[i] != nil {
			return false, errs[i]
		}
		b.rec.printf("requester got %s", r)
		if broken[i] {
			n++
		}
	}
	fmt.Printf("%d of %d complete successes have not the server's whole body\n", n, largeClients)
	return n > 0, nil
}

// fetch sends a request and reads its answer. broken is set for a success that is complete by its framing
// and whose body is not the server's whole one.
func (b *bed) fetch(id, front string) (seen string, broken bool, err error) {
	nc, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return "", false, err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(12 * time.Second))
	b.rec.printf("requester sends %s to %s", id, front)
	if _, err := fmt.Fprintf(nc, "GET /export/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 12000\r\n\r\n", host, id); err != nil {
		return "", false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return fmt.Sprintf("%s: no answer: %v", id, err), false, nil
	}
	got, end := io.ReadAll(resp.Body)
	whole := len(got) == largeBody && string(got) == string(body(id, largeBody))
	success := resp.StatusCode/100 == 2 && resp.Header.Get("Response-Signature") != ""
	how := "complete by its framing"
	if end != nil {
		how = "broken off: " + end.Error()
	}
	return fmt.Sprintf("%s: status %d, signature %q, length %d, codings %v, %d of %d bytes, %s", id, resp.StatusCode, resp.Header.Get("Response-Signature"), resp.ContentLength, resp.TransferEncoding, len(got), largeBody, how), success && end == nil && !whole, nil
}
