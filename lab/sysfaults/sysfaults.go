// Package sysfaults builds programs of this repository whose system calls fail at times, by an overlay of the toolchain's
// own syscall package at build, and words what is to fail for one process. Neither the repository nor the toolchain is
// changed, and a program that is told of no faults behaves as any other.
package sysfaults

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"time"

	_ "embed"
)

// Variable names the environment variable by which a process is told its faults, as Plan.Environment words them.
const EnvVar = "SWIFTHALL_SYSTEM_FAULTS"

// Call is a system call that can be made to fail.
type Call int

// The calls; the overlay knows them by these numbers.
const (
	Read Call = iota
	Write
	Accept
	Socket
	Connect
	Receive
	Sync
	SyncData
	PositionedWrite
	Open
)

// Target restricts a fault to one kind of descriptor.
type Target int

// The targets; the overlay knows them by these numbers.
const (
	Any Target = iota
	Sockets
	Files
	Pipes
)

// Short is, in the place of an errno, a transfer of fewer bytes than were asked for.
const Short syscall.Errno = 0

// Fault makes one in OneIn calls on descriptors of a kind fail with an errno.
type Fault struct {
	Call   Call
	Errno  syscall.Errno
	OneIn  int
	Target Target
}

// Plan is what is to fail in one process. Faults are active for the first Active of each Period, from the process's start;
// a zero Period has them active throughout.
type Plan struct {
	Seed           uint32
	Period, Active time.Duration
	Faults         []Fault
}

// Environment is the entry by which a process is told the plan.
func (p Plan) Environment() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s=%d %d %d ", EnvVar, p.Seed|1, p.Period.Milliseconds(), p.Active.Milliseconds())
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "%d %d %d %d ", f.Call, int(f.Errno), f.OneIn, f.Target)
	}
	return b.String()
}

// faulty is added to the syscall package.
//
//go:embed faulty.go.txt
var injectorSource string

// hooks are the lines that are put at the beginning of the toolchain's functions, by the beginning of their declarations.
var hookLines = map[string]string{
	`func read\(fd int, p \[\]byte\)`:                 `	if e, short := fault(0, fd, len(p)); e != 0 { return -1, e } else if short > 0 { p = p[:short] }`,
	`func write\(fd int, p \[\]byte\)`:                `	if e, short := fault(1, fd, len(p)); e != 0 { return -1, e } else if short > 0 { p = p[:short] }`,
	`func accept4\(s int, `:                           `	if e, _ := fault(2, -1, 0); e != 0 { return -1, e }`,
	`func socket\(domain int, `:                       `	if e, _ := fault(3, -1, 0); e != 0 { return -1, e }`,
	`func connect\(s int, `:                           `	if e, _ := fault(4, -1, 0); e != 0 { return e }`,
	`func recvfrom\(fd int, p \[\]byte, flags int, `:  `	if e, _ := fault(5, fd, 0); e != 0 { return -1, e }`,
	`func Fsync\(fd int\)`:                            `	if e, _ := fault(6, fd, 0); e != 0 { return e }`,
	`func Fdatasync\(fd int\)`:                        `	if e, _ := fault(7, fd, 0); e != 0 { return e }`,
	`func pwrite\(fd int, p \[\]byte, offset int64\)`: `	if e, short := fault(8, fd, len(p)); e != 0 { return -1, e } else if short > 0 { p = p[:short] }`,
	`func openat\(dirfd int, path string, `:           `	if e, _ := fault(9, -1, 0); e != 0 { return -1, e }`,
}

// Build builds a command of the repository at root, such as ./cmd/swifthall, with the overlay.
func Build(root, command, out string) error {
	folder, err := os.MkdirTemp("", "sysfaults")
	if err != nil {
		return &BuildError{command, "", err}
	}
	defer os.RemoveAll(folder)
	goroot, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return &BuildError{command, "", err}
	}
	source := filepath.Join(strings.TrimSpace(string(goroot)), "src", "syscall")
	overlaid, err := overlay(folder, source)
	if err != nil {
		return &BuildError{command, "", err}
	}
	cmd := exec.Command("go", "build", "-overlay", overlaid, "-o", out, command)
	cmd.Dir = root
	if says, err := cmd.CombinedOutput(); err != nil {
		return &BuildError{command, string(says), err}
	}
	return nil
}

// overlay writes the changed files and the file that names them, and returns the latter's path.
func overlay(folder, source string) (string, error) {
	name := fmt.Sprintf("zsyscall_linux_%s.go", runtime.GOARCH)
	raw, err := os.ReadFile(filepath.Join(source, name))
	if err != nil {
		return "", err
	}
	for declaration, hook := range hookLines {
		begins := regexp.MustCompile(`(?m)^` + declaration + `.*\{$`)
		at := begins.FindIndex(raw)
		if at == nil {
			return "", &HookError{declaration}
		}
		raw = append(raw[:at[1]:at[1]], append([]byte("\n"+hook), raw[at[1]:]...)...)
	}
	changed, added := filepath.Join(folder, name), filepath.Join(folder, "faulty.go")
	if err := os.WriteFile(changed, raw, 0o600); err != nil {
		return "", err
	}
	if err := os.WriteFile(added, []byte(injectorSource), 0o600); err != nil {
		return "", err
	}
	words, err := json.Marshal(map[string]map[string]string{"Replace": {
		filepath.Join(source, name):                   changed,
		filepath.Join(source, "zfaulty_swifthall.go"): added,
	}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "overlay.json")
	return path, os.WriteFile(path, words, 0o600)
}
