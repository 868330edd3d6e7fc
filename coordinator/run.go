package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/store"
)

// Options of a coordinator's process.
type Options struct {
	Restore     bool                                    // begin with the peers of the configuration alone
	NoSync      bool                                    // for measurements: what is agreed may be lost with the machine
	BeforeWrite func() error                            // called before each write
	ClockOffset time.Duration                           // by which the wall clock is to be wrong, for rigs
	Layer       func(raft.StreamLayer) raft.StreamLayer // put before connections; nil for none
}

const (
	fileName       = "coordinator.db"
	dirMode        = 0o700            // mode of its folder
	maxBody        = 16 << 20         // bytes of a question
	requestTimeout = 10 * time.Second // of a question and its answer
)

// tcpLayer is TCP for raft.
type tcpLayer struct{ net.Listener }

func (tcpLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}

// Listen takes an address for raft's connections.
func Listen(address string) (raft.StreamLayer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{"listen", address, err}
	}
	return tcpLayer{ln}, nil
}

// Run starts a coordinator with its file and its listeners, and runs it until ctx ends or it can't go on.
func Run(ctx context.Context, cfg config.Coordinator, o Options, log logrus.FieldLogger) error {
	var c *Coordinator
	begun := make(chan struct{})
	broken := make(chan error, 1)
	if err := os.MkdirAll(cfg.Data, dirMode); err != nil {
		return &store.OpenError{Path: cfg.Data, Cause: err}
	}
	st, err := store.Open(filepath.Join(cfg.Data, fileName), store.Options{NoSync: o.NoSync, BeforeWrite: o.BeforeWrite,
		OnWriteError: func(err error) {
			select {
			case <-begun:
				c.Fail(err)
			default: // at the start, whose error it is
			}
		},
		OnWrite: func(d time.Duration) {
			select {
			case <-begun:
				c.RecordWrite(d)
			default:
			}
		}})
	if err != nil {
		return err
	}
	defer st.Close()
	l, err := Listen(cfg.Listen)
	if err != nil {
		return err
	}
	api, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.API)
	if err != nil {
		l.Close()
		return &ListenError{"api", cfg.API, err}
	}
	transport := NewTransport(l, cfg.Routes, log)
	defer transport.Close()
	if o.Restore {
		if err := Restore(cfg, st, transport, log); err != nil {
			api.Close()
			return err
		}
		log.Warn("restored: the peers of the configuration are the only coordinators")
	}
	if c, err = Start(cfg, st, transport, o, log); err != nil {
		api.Close()
		return err
	}
	close(begun)
	srv := &http.Server{Handler: c.Handler(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: requestTimeout}
	go func() {
		if err := srv.Serve(api); !errors.Is(err, http.ErrServerClosed) {
			broken <- &ListenError{"api", cfg.API, err}
		}
	}()
	log.WithFields(logrus.Fields{fields.Door: cfg.Name, fields.Listen: cfg.API}).Info("coordinating")
	select {
	case <-ctx.Done():
		err = nil
	case err = <-broken:
	case err = <-c.Failure():
	}
	srv.Close()
	if err != nil { // what waits in raft for a broken disk would never end
		return err
	}
	c.Close()
	log.Info("left")
	return nil
}

// Handler answers doors and operators.
func (c *Coordinator) Handler() http.Handler {
	mux := http.NewServeMux()
	handlePost(mux, client.CommandPath, func(cmd *permits.Command) (any, error) { return c.Command(*cmd) })
	handlePost(mux, client.DoorReportPath, func(w *permits.DoorReport) (any, error) { return c.HandleDoorReport(w) })
	handlePost(mux, client.HolderReportPath, func(h *permits.HolderReport) (any, error) { return c.HandleHolderReport(h) })
	handlePost(mux, client.MembersPath, func(ch *client.MembershipChange) (any, error) { return struct{}{}, c.ChangeMembership(*ch) })
	handlePost(mux, client.DryRunPath, func(a *client.DryRun) (any, error) {
		var t client.DryRunResult
		if !c.Read(func(s *permits.State, _ float64) { t.Units, t.Answer.Err = s.DryRun(a.Kind, a.Name) }) {
			return nil, c.notLeader()
		}
		return t, nil
	})
	handlePost(mux, client.StatusPath, func(*struct{}) (any, error) {
		st := c.Status()
		if !st.Current {
			return nil, c.notLeader()
		}
		return st, nil
	})
	handlePost(mux, client.CalendarPath, func(q *client.CalendarQuery) (any, error) { return c.QueryCalendar(q) })
	mux.HandleFunc("GET "+client.StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Status()) })
	mux.HandleFunc("GET "+client.AuditPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, c.Audit()) })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// handlePost answers questions of one kind. What can't be read is refused; one that doesn't lead says who does; one that can't say
// whether a command happened says that, and is asked again.
func handlePost[Q any](mux *http.ServeMux, path string, answer func(*Q) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var q Q
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil {
			err = json.Unmarshal(raw, &q)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, client.Hint{Reason: err.Error()})
			return
		}
		a, err := answer(&q)
		var elsewhere *NotLeaderError
		var members *MajorityError
		var held *CalendarError
		switch {
		case errors.As(err, &elsewhere):
			writeJSON(w, http.StatusMisdirectedRequest, elsewhere.Hint)
		case errors.As(err, &members):
			writeJSON(w, http.StatusBadRequest, client.Hint{Reason: members.Error() + ". " + members.Remedy()})
		case errors.As(err, &held):
			writeJSON(w, http.StatusBadRequest, client.Hint{Reason: held.Error() + ". " + held.Remedy()})
		case err != nil:
			writeJSON(w, http.StatusServiceUnavailable, client.Hint{Reason: err.Error()})
		default:
			writeJSON(w, http.StatusOK, a)
		}
	})
}
