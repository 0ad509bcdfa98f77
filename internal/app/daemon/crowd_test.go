package daemon

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiapass/cassiapass/internal/fake/crowd"
)

const (
	crowdMemoryMB = 96  // memory limit of each program beside a crowd
	crowdFiles    = 300 // descriptors that each program may open beside a crowd
	crowdTries    = 3   // connections that each client opens, one after the other
	crowdSettle   = time.Minute
	crowdPatience = 30 * time.Second
	sampleKey     = "dev-key-utility-east" // of examples/record.json
)

// programs are the real programs of one deployment, as separate processes on loopback.
type programs struct {
	t     *testing.T
	dir   string
	procs map[string]*exec.Cmd
}

// Addresses of the programs' listeners.
const (
	controlInternal  = "127.0.0.1:17001"
	controlOperators = "127.0.0.1:17002"
	agentInternal    = "127.0.0.1:17011"
	agentOperators   = "127.0.0.1:17012"
	entryCallers     = "127.0.0.1:17021"
	entryOperators   = "127.0.0.1:17022"
	engineAddr       = "127.0.0.1:17030"
)

// programsDir holds the programs once buildPrograms has built them.
var programsDir string

// buildPrograms builds the programs once and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	if programsDir != "" {
		return programsDir
	}
	dir, err := os.MkdirTemp("", "cassiapass-programs")
	if err != nil {
		t.Fatal(err)
	}
	programsDir = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return dir
}

func TestMain(m *testing.M) {
	code := m.Run()
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// startPrograms starts control, an agent with a stand-in engine, and an entry, and submits a record.
func startPrograms(t *testing.T) *programs {
	t.Helper()
	p := &programs{t: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	key := filepath.Join(p.dir, "key")
	if err := os.WriteFile(key, []byte("a-shared-key-of-16-bytes-or-more"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.stop)
	p.start("dev", "--engine-at", engineAddr)
	p.start("control", "--host", "control-1", "--availability-zone", "fukuoka", "--listen", controlInternal, "--operator-listen", controlOperators,
		"--data", filepath.Join(p.dir, "data"), "--bootstrap", "--shared-key-file", key, "--insecure-no-operator-token")
	p.start("agent", "--host", "gpu-1", "--availability-zone", "fukuoka", "--place", "kyushu", "--control", controlInternal, "--listen", agentInternal,
		"--operator-listen", agentOperators, "--engine-url", "http://"+engineAddr, "--memory", "24000000000", "--engine-fencing", "honoured", "--shared-key-file", key)
	p.start("entry", "--host", "entry-1", "--availability-zone", "fukuoka", "--control", controlInternal, "--listen", entryCallers, "--operator-listen", entryOperators,
		"--shared-key-file", key, "--insecure-plaintext")
	record, err := os.ReadFile("../../../examples/record.json")
	if err != nil {
		t.Fatal(err)
	}
	p.eventually("the record is accepted", func() bool {
		return p.call(http.MethodPost, controlOperators, "/v1/records", fmt.Sprintf(`{"request":"r1","record":%s}`, record)) == http.StatusOK
	})
	p.awaitServed("before")
	return p
}

// start starts a program with the limits of the test.
func (p *programs) start(name string, args ...string) {
	p.t.Helper()
	cmd := exec.Command(filepath.Join(buildPrograms(p.t), "cassiapass-"+name), args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("CASSIAPASS_MEMORY_LIMIT=%d", crowdMemoryMB<<20), fmt.Sprintf("CASSIAPASS_FILE_LIMIT=%d", crowdFiles))
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	l := unix.Rlimit{Cur: crowdFiles, Max: crowdFiles}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &l, nil); err != nil {
		p.t.Fatal(err)
	}
	p.procs[name] = cmd
}

func (p *programs) stop() {
	for _, cmd := range p.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (p *programs) eventually(what string, f func() bool) {
	p.t.Helper()
	for begin := time.Now(); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > crowdPatience {
			p.t.Fatalf("not within %v: %s", crowdPatience, what)
		}
	}
}

// call sends one request on a connection of its own and returns the status of its answer, 0 if none came.
func (p *programs) call(method, addr, path, body string) int {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+sampleKey)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

// awaitServed waits until an ordinary request is answered and all listeners for operators answer.
func (p *programs) awaitServed(when string) {
	p.t.Helper()
	p.eventually("an ordinary request is answered "+when+" the crowd", func() bool {
		return p.call(http.MethodPost, entryCallers, "/v1/chat/completions", `{"model":"summary","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`) == http.StatusOK
	})
	for _, addr := range []string{controlOperators, agentOperators, entryOperators} {
		p.eventually(addr+" answers "+when+" the crowd", func() bool { return p.call(http.MethodGet, addr, "/metrics", "") == http.StatusOK })
	}
}

// programCrowd is a way in which clients of a program's listener behave.
type programCrowd struct {
	name, program, addr string
	count               int
	client              crowd.Client
}

// sampleHead returns heads of requests with the sample's key and more fields.
func sampleHead(method, path, fields string) func(int) string {
	return func(int) string {
		return method + " " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + sampleKey + "\r\n" + fields + "\r\n"
	}
}

func programCrowds() []programCrowd {
	const chunked = "Transfer-Encoding: chunked\r\n"
	bodies := crowd.Client{Send: crowd.Chunked(sampleHead("POST", "/v1/chat/completions", chunked), 7<<20, 64<<10)}
	heads := crowd.Client{Send: crowd.Plain(sampleHead("POST", "/v1/chat/completions", chunked+crowd.SmallFields(30<<10)), "1\r\n{\r\n", 6)}
	records := crowd.Client{Send: crowd.Chunked(sampleHead("POST", "/v1/records", chunked), 960<<10, 64<<10)}
	return []programCrowd{
		{"bodies left open", "entry", entryCallers, 40, bodies},
		{"heads of small fields", "entry", entryCallers, 200, heads},
		{"heads of small fields to operators", "entry", entryOperators, 200, heads},
		{"records left open", "control", controlOperators, 200, records},
		{"silent callers", "entry", entryCallers, 400, crowd.Silent},
		{"silent operators", "entry", entryOperators, 400, crowd.Silent},
		{"silent operators", "control", controlOperators, 400, crowd.Silent},
		{"silent processes", "control", controlInternal, 400, crowd.Silent},
		{"silent operators", "agent", agentOperators, 400, crowd.Silent},
		{"silent processes", "agent", agentInternal, 400, crowd.Silent},
	}
}

// Guards against a program that runs out of memory or descriptors by what many clients of one of its
// listeners make it hold.
func TestCrowdKeepsEachProgramWithinItsLimits(t *testing.T) {
	for _, f := range programCrowds() {
		t.Run(strings.ReplaceAll(f.program+": "+f.name, " ", "_"), func(t *testing.T) {
			p := startPrograms(t)
			pid := p.procs[f.program].Process.Pid
			w := crowd.Watch(pid, f.addr)
			t.Cleanup(func() { w.Stop() })
			c := crowd.Start(f.addr, f.count, crowdTries, f.client)
			t.Cleanup(c.Stop)
			if !c.AwaitSent(crowdSettle) {
				t.Error("the crowd did not come to send all")
			}
			if !crowd.Lives(pid) {
				t.Error("the process has ended")
			}
			p.awaitServed("beside")
			c.Stop()
			p.awaitServed("after")
			u := w.Stop()
			t.Logf("%d MB at most, %d MB of it in the kernel; %d descriptors; answers by status: %v", u.Memory>>20, u.Kernel>>20, u.Files, c.Answers())
			if u.Memory > crowdMemoryMB<<20 || u.Files >= crowdFiles {
				t.Errorf("the process held %d MB and %d descriptors, its limits are %d and %d", u.Memory>>20, u.Files, crowdMemoryMB, crowdFiles)
			}
			if n := c.Unproven(); n > 0 {
				t.Errorf("%d refusals did not say when to retry", n)
			}
		})
	}
}
