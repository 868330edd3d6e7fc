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

// Options configures a coordinator's process.
type Options struct {
	Restore     bool                                    // make the peers of the configuration the only coordinators, see Restore
	NoSync      bool                                    // don't sync writes to the disk, for measurements: a machine that crashes loses agreed commands
	BeforeWrite func() error                            // called before each write of the store; an error fails the write. Used to inject disk faults; may be nil
	ClockOffset time.Duration                           // added to the wall clock, to test the effects of a wrong clock
	Layer       func(raft.StreamLayer) raft.StreamLayer // wraps the connections of raft; not used by Run so far
}

const (
	fileName       = "coordinator.db" // in the data directory
	dirMode        = 0o700            // of the data directory
	maxBody        = 16 << 20         // bytes of a request
	requestTimeout = 10 * time.Second // for reading a request, for writing the response, and for idle connections
)

// tcpLayer implements raft.StreamLayer with TCP.
type tcpLayer struct{ net.Listener }

// Dial connects to another coordinator.
func (tcpLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}

// Listen listens for raft's connections on a TCP address.
func Listen(address string) (raft.StreamLayer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{"listen", address, err}
	}
	return tcpLayer{ln}, nil
}

// Run opens a coordinator's store and listeners, and runs the coordinator until ctx ends or an error terminates it.
func Run(ctx context.Context, cfg config.Coordinator, options Options, log logrus.FieldLogger) error {
	var c *Coordinator
	started := make(chan struct{})
	serveErrors := make(chan error, 1)
	if err := os.MkdirAll(cfg.Data, dirMode); err != nil {
		return &store.OpenError{Path: cfg.Data, Cause: err}
	}
	st, err := store.Open(filepath.Join(cfg.Data, fileName), store.Options{NoSync: options.NoSync, BeforeWrite: options.BeforeWrite,
		OnWriteError: func(err error) {
			select {
			case <-started:
				c.Fail(err)
			default: // during the start, which returns the error itself
			}
		},
		OnWrite: func(d time.Duration) {
			select {
			case <-started:
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
	if options.Restore {
		if err := Restore(cfg, st, transport, log); err != nil {
			api.Close()
			return err
		}
		log.Warn("restored: the peers of the configuration are the only coordinators")
	}
	if c, err = Start(cfg, st, transport, options, log); err != nil {
		api.Close()
		return err
	}
	close(started)
	srv := &http.Server{Handler: c.Handler(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: requestTimeout}
	go func() {
		if err := srv.Serve(api); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- &ListenError{"api", cfg.API, err}
		}
	}()
	log.WithFields(logrus.Fields{fields.Door: cfg.Name, fields.Listen: cfg.API}).Info("coordinating")
	select {
	case <-ctx.Done():
		err = nil
	case err = <-serveErrors:
	case err = <-c.Failure():
	}
	srv.Close()
	if err != nil { // Close would wait forever for a raft goroutine that is blocked in Fail
		return err
	}
	c.Close()
	log.Info("left")
	return nil
}

// Handler returns the API for doors and operators.
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

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handlePost registers a handler for JSON requests. A request that can't be decoded is answered with status 400, as is one that is
// refused. If this coordinator doesn't lead, the status is 421 and the body names the leader. If the outcome of a command is
// unknown, the status is 503, and the client repeats the request.
func handlePost[Q any](mux *http.ServeMux, path string, handle func(*Q) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Q
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil {
			err = json.Unmarshal(raw, &request)
		}
		if err != nil {
			writeJSON(w, http.StatusBadRequest, client.Hint{Reason: err.Error()})
			return
		}
		response, err := handle(&request)
		var notLeader *NotLeaderError
		var noMajority *MajorityError
		var byCalendar *CalendarError
		switch {
		case errors.As(err, &notLeader):
			writeJSON(w, http.StatusMisdirectedRequest, notLeader.Hint)
		case errors.As(err, &noMajority):
			writeJSON(w, http.StatusBadRequest, client.Hint{Reason: noMajority.Error() + ". " + noMajority.Remedy()})
		case errors.As(err, &byCalendar):
			writeJSON(w, http.StatusBadRequest, client.Hint{Reason: byCalendar.Error() + ". " + byCalendar.Remedy()})
		case err != nil:
			writeJSON(w, http.StatusServiceUnavailable, client.Hint{Reason: err.Error()})
		default:
			writeJSON(w, http.StatusOK, response)
		}
	})
}
