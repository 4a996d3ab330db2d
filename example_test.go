package figshift_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/figshift/figshift"
)

// engineAnswer simulates a daemon that answers with two segments and the token counts.
func engineAnswer(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"Tokens":["staff"," list"],"Version":4}`+"\n"+`{"Done":true,"GeneratedTokens":2}`+"\n")
}

func ExampleClient_Generate() {
	daemon := httptest.NewServer(http.HandlerFunc(engineAnswer))
	defer daemon.Close()
	c := &figshift.Client{Address: daemon.URL, Key: "an organisation key"}
	stream, err := c.Generate(context.Background(), "/v1/generate", figshift.Generate{Prompt: "List", MaxTokens: 2})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stream.Close()
	for {
		segment, err := stream.Next()
		if err != nil {
			break
		}
		fmt.Println(segment.Tokens, segment.Version, segment.GeneratedTokens)
	}
	// Output:
	// [staff  list] 4 0
	// [] 0 2
}

func ExampleLots() {
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Rollout":"drafts","Lot":1,"Attempt":9,"Count":1,"Samples":[{"ID":"drafts/1/9/0/0","Versions":[4]}]}`)
	}))
	defer daemon.Close()
	lots := &figshift.Lots{
		Client:   &figshift.Client{Address: daemon.URL, Key: "an organisation key"},
		Rollout:  "drafts",
		Consumer: "trainer-1",
	}
	lot, err := lots.Next(context.Background())
	if err != nil {
		fmt.Println(err)
		return
	}
	lots.Keep(lot)
	fmt.Println(lots.Cursor, lot.Count, lot.Samples[0].Versions)
	// Output: 1 1 [4]
}
