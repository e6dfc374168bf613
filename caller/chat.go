package caller

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Content is the text of a message. In JSON it is a string or a list of text parts.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var plain string
	if err := json.Unmarshal(data, &plain); err == nil {
		*c = Content(plain)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("messages.content: value is not a string or a list of text parts")
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("messages.content.type: %q is not text", part.Type)
		}
		text.WriteString(part.Text)
	}
	*c = Content(text.String())
	return nil
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role" validate:"required,max=32"`
	Content Content `json:"content"`
}

// generationParams are the fields common to chat and plain completion requests.
type generationParams struct {
	Model               string `json:"model" validate:"required,max=160"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens" validate:"gte=0,lte=10000000"`
	MaxCompletionTokens int    `json:"max_completion_tokens" validate:"gte=0,lte=10000000"`
	N                   int    `json:"n" validate:"gte=0,lte=1"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// max returns the maximum number of tokens to generate.
func (g generationParams) max() int {
	const defaultMaxTokens = 256
	if g.MaxCompletionTokens > 0 {
		return g.MaxCompletionTokens
	}
	if g.MaxTokens > 0 {
		return g.MaxTokens
	}
	return defaultMaxTokens
}

// ChatRequest is the body of a chat completions request. Unknown fields are ignored.
type ChatRequest struct {
	generationParams
	Messages []Message `json:"messages" validate:"required,min=1,max=10000,dive"`
}

// prompt renders the messages as one text. Each message is appended to the text of the
// previous ones, so that the turns of a chat share a prefix.
func (r ChatRequest) prompt() string {
	var text strings.Builder
	for _, message := range r.Messages {
		text.WriteString("<|" + message.Role + "|>\n" + string(message.Content) + "\n")
	}
	text.WriteString("<|assistant|>\n")
	return text.String()
}

// CompletionRequest is the body of a plain completions request.
type CompletionRequest struct {
	generationParams
	Prompt string `json:"prompt" validate:"required"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the generated text, or a part of it in a stream.
type Choice struct {
	Index        int               `json:"index"`
	Message      *AssistantMessage `json:"message,omitempty"` // chat, not streamed
	Delta        *AssistantMessage `json:"delta,omitempty"`   // chat, streamed
	Text         *string           `json:"text,omitempty"`    // plain completion
	FinishReason *string           `json:"finish_reason"`
}

// AssistantMessage is the message that the model generates.
type AssistantMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// CompletionResponse is the body of a response, or one event of a streamed response.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure in the format of chat completions APIs.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
}
