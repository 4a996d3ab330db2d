// Command generate sends one prompt and prints the answer as it arrives.
//
//	go run ./examples/generate -address http://127.0.0.1:8080 -key KEY "a prompt"
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/figshift/figshift"
)

const maxTokens = 64

func main() {
	address := flag.String("address", "http://127.0.0.1:8080", "base `URL` of an entry host")
	key := flag.String("key", "", "organisation `key`")
	path := flag.String("path", "/v1/generate", "`path` of the model's route")
	flag.Parse()
	c := &figshift.Client{Address: *address, Key: *key}
	if err := generate(c, *path, flag.Arg(0)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate(c *figshift.Client, path, prompt string) error {
	request := figshift.Generate{Prompt: prompt, MaxTokens: maxTokens}
	stream, err := c.Generate(context.Background(), path, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		segment, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		printSegment(segment)
	}
}

func printSegment(s figshift.Segment) {
	if s.Done {
		fmt.Printf("\n%d tokens\n", s.GeneratedTokens)
		return
	}
	for _, token := range s.Tokens {
		fmt.Print(token)
	}
}
