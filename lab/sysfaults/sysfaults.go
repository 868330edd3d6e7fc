// Package sysfaults injects faults into the system calls of programs of this repository. It builds a program with an overlay of
// the toolchain's syscall package, and encodes the fault plan that a process reads from its environment. Neither the repository
// nor the toolchain is modified, and a program without a fault plan behaves as usual.
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

// EnvVar is the environment variable that holds the fault plan of a process, as encoded by Plan.Environment.
const EnvVar = "SWIFTHALL_SYSTEM_FAULTS"

// Call is a system call into which faults can be injected.
type Call int

// The system calls. The numbers are part of the encoding that the overlay reads.
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

// The targets. The numbers are part of the encoding that the overlay reads.
const (
	Any Target = iota
	Sockets
	Files
	Pipes
)

// Short, in place of an errno, makes a call transfer fewer bytes than requested.
const Short syscall.Errno = 0

// Fault makes a random one in OneIn calls on descriptors of the target kind fail with an errno.
type Fault struct {
	Call   Call
	Errno  syscall.Errno
	OneIn  int
	Target Target
}

// Plan holds the faults of one process. They are active for the first Active of each Period, counted from the first system call
// that can fail; with a zero Period they are always active.
type Plan struct {
	Seed           uint32
	Period, Active time.Duration
	Faults         []Fault
}

// Environment returns the plan as an environment entry, NAME=value. The seed is made odd, since the generator never leaves 0.
func (p Plan) Environment() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s=%d %d %d ", EnvVar, p.Seed|1, p.Period.Milliseconds(), p.Active.Milliseconds())
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "%d %d %d %d ", f.Call, int(f.Errno), f.OneIn, f.Target)
	}
	return b.String()
}

// injectorSource is the file that the overlay adds to the syscall package.
//
//go:embed faulty.go.txt
var injectorSource string

// hookLines are the statements that the overlay inserts at the beginning of the toolchain's functions, by a pattern for the start of
// their declarations. The first argument of fault is the number of the Call.
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

// NoTCPInfo is the build tag of a program that the system tells nothing about its TCP sockets.
const NoTCPInfo = "notcpinfo"

// Build builds a command of the repository at root, such as ./cmd/swifthall, with the overlay and build tags, and writes the program
// to out.
func Build(root, command, out string, tags ...string) error {
	dir, err := os.MkdirTemp("", "sysfaults")
	if err != nil {
		return &BuildError{command, "", err}
	}
	defer os.RemoveAll(dir)
	goroot, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		return &BuildError{command, "", err}
	}
	source := filepath.Join(strings.TrimSpace(string(goroot)), "src", "syscall")
	overlayFile, err := overlay(dir, source)
	if err != nil {
		return &BuildError{command, "", err}
	}
	cmd := exec.Command("go", "build", "-overlay", overlayFile, "-tags", strings.Join(tags, ","), "-o", out, command)
	cmd.Dir = root
	if output, err := cmd.CombinedOutput(); err != nil {
		return &BuildError{command, string(output), err}
	}
	return nil
}

// overlay writes the changed syscall sources and the overlay file for the go command to a directory. It returns the path of the
// overlay file.
func overlay(dir, source string) (string, error) {
	name := fmt.Sprintf("zsyscall_linux_%s.go", runtime.GOARCH)
	raw, err := os.ReadFile(filepath.Join(source, name))
	if err != nil {
		return "", err
	}
	for declaration, hook := range hookLines {
		pattern := regexp.MustCompile(`(?m)^` + declaration + `.*\{$`)
		match := pattern.FindIndex(raw)
		if match == nil {
			return "", &HookError{declaration}
		}
		raw = append(raw[:match[1]:match[1]], append([]byte("\n"+hook), raw[match[1]:]...)...)
	}
	changed, added := filepath.Join(dir, name), filepath.Join(dir, "faulty.go")
	if err := os.WriteFile(changed, raw, 0o600); err != nil {
		return "", err
	}
	if err := os.WriteFile(added, []byte(injectorSource), 0o600); err != nil {
		return "", err
	}
	spec, err := json.Marshal(map[string]map[string]string{"Replace": {
		filepath.Join(source, name):                   changed,
		filepath.Join(source, "zfaulty_swifthall.go"): added,
	}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, spec, 0o600)
}
