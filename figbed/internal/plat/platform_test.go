package plat_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/plat"
	"github.com/figshift/figshift/internal/wire"
)

// send returns the status and decodes the response into out unless out is nil. The status is 0 when the connection was
// closed without a response.
func send(t *testing.T, method, url string, body, out any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		_ = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode
}

func startServer(t *testing.T, p *plat.Platform) string {
	t.Helper()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return server.URL
}

func TestConditionalWrites(t *testing.T) {
	url := startServer(t, &plat.Platform{})
	put := func(version uint64) int {
		return send(t, http.MethodPut, url+wire.PathObject, wire.ObjectPut{Name: "A", Version: version}, nil)
	}
	remove := func(query string) int {
		return send(t, http.MethodDelete, url+wire.PathObject+"?Name=A&Version="+query, nil, nil)
	}
	got := []int{put(1), put(0), put(0), put(1), remove("1"), remove("2"), put(2), put(0)}
	want := []int{409, 200, 409, 200, 409, 200, 409, 200}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	var o wire.Object
	send(t, http.MethodGet, url+wire.PathObject+"?Name=A", nil, &o)
	if diff := cmp.Diff(uint64(4), o.Version); diff != "" {
		t.Errorf("version after delete and create (-want +got):\n%s", diff)
	}
}

func TestWatchWaitsForAChange(t *testing.T) {
	url := startServer(t, &plat.Platform{})
	changed := make(chan wire.ObjectList, 1)
	go func() {
		var list wire.ObjectList
		send(t, http.MethodGet, url+wire.PathWatch+"?Prefix=A&After=0&WaitMS=5000", nil, &list)
		changed <- list
	}()
	send(t, http.MethodPut, url+wire.PathObject, wire.ObjectPut{Name: "B"}, nil)
	send(t, http.MethodPut, url+wire.PathObject, wire.ObjectPut{Name: "A1"}, nil)
	select {
	case list := <-changed:
		if len(list.Objects) != 1 || list.Objects[0].Name != "A1" {
			t.Errorf("watch returned %+v", list)
		}
	case <-time.After(3 * time.Second):
		t.Error("the watch did not return after the change")
	}
}

func TestLostAnswerTakesEffect(t *testing.T) {
	p := &plat.Platform{}
	url := startServer(t, p)
	p.SetFaults(wire.Faults{LoseAnswers: 1, LosePrefix: "Duty/"})
	got := []int{
		send(t, http.MethodPut, url+wire.PathObject, wire.ObjectPut{Name: "Config/Site"}, nil),
		send(t, http.MethodPut, url+wire.PathObject, wire.ObjectPut{Name: "Duty/x"}, nil),
		send(t, http.MethodGet, url+wire.PathObject+"?Name=Duty/x", nil, nil),
	}
	if diff := cmp.Diff([]int{200, 0, 200}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}

func TestOrders(t *testing.T) {
	p := &plat.Platform{OnDemandPrice: 1}
	url := startServer(t, p)
	spare := wire.Endpoint{Name: "e1", Kind: wire.Engine, Address: "127.0.0.1:1"}
	send(t, http.MethodPost, url+plat.PathRegister, plat.Registration{Endpoint: spare, Spare: true}, nil)
	order := func(id, action string) wire.OrderReply {
		var reply wire.OrderReply
		o := wire.EndpointOrder{OrderID: id, Action: action, Zone: "a", Price: wire.OnDemand, Endpoint: "e1"}
		send(t, http.MethodPost, url+wire.PathOrder, o, &reply)
		return reply
	}
	got := []wire.OrderReply{order("1", "Start"), order("1", "Start"), order("2", "Start"), order("3", "Stop")}
	want := []wire.OrderReply{
		{Accepted: true, Endpoint: "e1"},
		{Accepted: true, Endpoint: "e1"},
		{Kind: "NoneToBeHad"},
		{Accepted: true, Endpoint: "e1"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("replies (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(4, len(p.Calls().Orders)); diff != "" {
		t.Errorf("recorded orders (-want +got):\n%s", diff)
	}
}

func TestListDistortions(t *testing.T) {
	live := wire.Endpoint{Name: "e1", Kind: wire.Engine, Price: wire.Cheap, Zone: "a", Address: "127.0.0.1:1"}
	cases := map[string]struct {
		faults wire.Faults
		want   []wire.EndpointState
	}{
		"None":          {wire.Faults{ReclaimZone: "a"}, []wire.EndpointState{wire.Leaving}},
		"OtherZone":     {wire.Faults{ReclaimZone: "b"}, []wire.EndpointState{wire.Live}},
		"LiveAfterStop": {wire.Faults{ReclaimZone: "a", LiveAfterStop: true}, []wire.EndpointState{wire.Live}},
		"Lag":           {wire.Faults{ReclaimZone: "a", ListLagMS: 60_000}, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := &plat.Platform{ReclaimNotice: time.Minute}
			url := startServer(t, p)
			send(t, http.MethodPost, url+plat.PathRegister, plat.Registration{Endpoint: live}, nil)
			p.SetFaults(test.faults)
			var list wire.EndpointList
			send(t, http.MethodGet, url+wire.PathEndpoints, nil, &list)
			var got []wire.EndpointState
			for _, e := range list.Endpoints {
				got = append(got, e.State)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
		})
	}
}
