package figshift_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/figshift/figshift"
)

// engineAnswer stands for a daemon that answers with two segments and the counts.
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

func ExampleClient_NextLot() {
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Rollout":"drafts","Lot":1,"Count":1,"Samples":[{"ID":"drafts/1/1/0/0","Versions":[4]}]}`)
	}))
	defer daemon.Close()
	c := &figshift.Client{Address: daemon.URL, Key: "an organisation key"}
	lot, err := c.NextLot(context.Background(), "drafts", "trainer-1", 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(lot.Lot, lot.Count, lot.Samples[0].Versions)
	// Output: 1 1 [4]
}
