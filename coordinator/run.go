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
	Restore bool                                    // begin with the peers of the configuration alone
	NoSync  bool                                    // for measurements: what is agreed may be lost with the machine
	Before  func() error                            // called before each write
	Wrong   time.Duration                           // by which the wall clock is to be wrong, for rigs
	Layer   func(raft.StreamLayer) raft.StreamLayer // put before connections; nil for none
}

const (
	fileName = "coordinator.db"
	private  = 0o700            // mode of its folder
	mostBody = 16 << 20         // bytes of a question
	patience = 10 * time.Second // of a question and its answer
)

// layer is TCP for raft.
type layer struct{ net.Listener }

func (layer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}

// Layer takes an address for raft's connections.
func Layer(address string) (raft.StreamLayer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{"listen", address, err}
	}
	return layer{ln}, nil
}

// Run starts a coordinator with its file and its listeners, and runs it until ctx ends or it can't go on.
func Run(ctx context.Context, cfg config.Coordinator, o Options, log logrus.FieldLogger) error {
	var c *Coordinator
	begun := make(chan struct{})
	broken := make(chan error, 1)
	if err := os.MkdirAll(cfg.Data, private); err != nil {
		return &store.OpenError{Path: cfg.Data, Cause: err}
	}
	st, err := store.Open(filepath.Join(cfg.Data, fileName), store.Options{NoSync: o.NoSync, BeforeWrite: o.Before,
		OnWriteError: func(err error) {
			select {
			case <-begun:
				c.Failed(err)
			default: // at the start, whose error it is
			}
		},
		OnWrite: func(d time.Duration) {
			select {
			case <-begun:
				c.Wrote(d)
			default:
			}
		}})
	if err != nil {
		return err
	}
	defer st.Close()
	l, err := Layer(cfg.Listen)
	if err != nil {
		return err
	}
	api, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.API)
	if err != nil {
		l.Close()
		return &ListenError{"api", cfg.API, err}
	}
	transport := Transport(l, cfg.Routes, log)
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
	srv := &http.Server{Handler: c.Handler(), ReadTimeout: patience, WriteTimeout: patience, IdleTimeout: patience}
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
	case err = <-c.Ended():
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
	post(mux, client.CommandPath, func(cmd *permits.Command) (any, error) { return c.Command(*cmd) })
	post(mux, client.WordPath, func(w *permits.DoorReport) (any, error) { return c.Word(w) })
	post(mux, client.HoldPath, func(h *permits.HolderReport) (any, error) { return c.Hold(h) })
	post(mux, client.MembersPath, func(ch *client.Change) (any, error) { return struct{}{}, c.Members(*ch) })
	post(mux, client.TryPath, func(a *client.Asked) (any, error) {
		var t client.Tried
		if !c.Read(func(s *permits.State, _ float64) { t.Would, t.Answer.Err = s.DryRun(a.Kind, a.Name) }) {
			return nil, c.elsewhere()
		}
		return t, nil
	})
	post(mux, client.StatusPath, func(*struct{}) (any, error) {
		st := c.Status()
		if !st.Current {
			return nil, c.elsewhere()
		}
		return st, nil
	})
	post(mux, client.CalendarPath, func(q *client.CalendarQuestion) (any, error) { return c.Calendar(q) })
	mux.HandleFunc("GET "+client.StatusPath, func(w http.ResponseWriter, _ *http.Request) { say(w, http.StatusOK, c.Status()) })
	mux.HandleFunc("GET "+client.AuditPath, func(w http.ResponseWriter, _ *http.Request) { say(w, http.StatusOK, c.Audit()) })
	return mux
}

func say(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// post answers questions of one kind. What can't be read is refused; one that doesn't lead says who does; one that can't say
// whether a command happened says that, and is asked again.
func post[Q any](mux *http.ServeMux, path string, answer func(*Q) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var q Q
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
		if err == nil {
			err = json.Unmarshal(raw, &q)
		}
		if err != nil {
			say(w, http.StatusBadRequest, client.Hint{Says: err.Error()})
			return
		}
		a, err := answer(&q)
		var elsewhere *ElsewhereError
		var members *MembersError
		var held *CalendarError
		switch {
		case errors.As(err, &elsewhere):
			say(w, http.StatusMisdirectedRequest, elsewhere.Hint)
		case errors.As(err, &members):
			say(w, http.StatusBadRequest, client.Hint{Says: members.Error() + ". " + members.Remedy()})
		case errors.As(err, &held):
			say(w, http.StatusBadRequest, client.Hint{Says: held.Error() + ". " + held.Remedy()})
		case err != nil:
			say(w, http.StatusServiceUnavailable, client.Hint{Says: err.Error()})
		default:
			say(w, http.StatusOK, a)
		}
	})
}
