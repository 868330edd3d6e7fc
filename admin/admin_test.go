package admin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/fleet"
	"github.com/swifthall/swifthall/members"
)

func view() fleet.View {
	return fleet.View{Self: "a", Fleet: "prod", SilentMs: 20, Rows: []members.Row{
		{Peer: members.Peer{Name: "a", Zone: "z1", Address: "10.0.0.1:7946"}, State: members.Here, Incarnation: 1, Observers: 2, Since: 61e3},
		{Peer: members.Peer{Name: "b", Zone: "z2", Address: "10.0.0.2:7946", Release: "abc"}, State: members.Suspect, Incarnation: 3, Observers: 2, Suspicions: 1, Observed: true, RTT: 1.25},
	}}
}

func TestADoorsStatusIsToldAndAsked(t *testing.T) {
	srv := httptest.NewServer(Handler(view, nil))
	defer srv.Close()
	m, err := GetMembers(context.Background(), strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)
	assert.Equal(t, Word(view()), m)
	require.Len(t, m.Members, 2)
	assert.Equal(t, 1, m.Members[1].SeenBy)
	assert.False(t, *m.Members[1].Reached)
	assert.Nil(t, m.Members[0].Reached)
	var out bytes.Buffer
	m.Print(&out)
	assert.Regexp(t, `b +z2 +doubted +0s +1 of 2 +3 +abc +no answer +10.0.0.2:7946`, out.String())
	assert.Contains(t, out.String(), "1m1s")
}

func TestARefusedDoorSaysWhatToDo(t *testing.T) {
	v := view()
	v.NameConflict = &members.NameTakenError{Name: "a", Address: "10.0.0.9:7946"}
	var out bytes.Buffer
	Word(v).Print(&out)
	assert.Contains(t, out.String(), "no member: ")
	assert.Contains(t, out.String(), "GW_NAME")
}

func TestNobodyThereOrNoDoorIsToldWithWhatToDo(t *testing.T) {
	var ask *AskError
	_, err := GetMembers(context.Background(), "127.0.0.1:1")
	require.ErrorAs(t, err, &ask)
	assert.Contains(t, ask.Remedy(), "fleet.status")
	for _, answer := range []http.HandlerFunc{http.NotFound, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }} {
		srv := httptest.NewServer(answer)
		_, err = GetMembers(context.Background(), strings.TrimPrefix(srv.URL, "http://"))
		assert.ErrorAs(t, err, &ask)
		srv.Close()
	}
	err = Serve(context.Background(), "127.0.0.1:99999", view, nil)
	var listen *ListenError
	assert.ErrorAs(t, err, &listen)
}

type plans struct{ out bool }

func (p *plans) Plan() Plan { return Plan{Out: p.out, Number: 7, Withheld: []string{"b"}} }
func (p *plans) Back()      { p.out = false }

func TestADoorComesBackByHand(t *testing.T) {
	srv := httptest.NewServer(Handler(view, &plans{out: true}))
	defer srv.Close()
	at := strings.TrimPrefix(srv.URL, "http://")
	p, err := AskPlan(context.Background(), at)
	require.NoError(t, err)
	assert.Equal(t, Plan{Out: true, Number: 7, Withheld: []string{"b"}}, p)
	p, err = Back(context.Background(), at)
	require.NoError(t, err)
	assert.False(t, p.Out)
	none := httptest.NewServer(Handler(view, nil))
	defer none.Close()
	var ask *AskError
	_, err = Back(context.Background(), strings.TrimPrefix(none.URL, "http://"))
	assert.ErrorAs(t, err, &ask)
}
