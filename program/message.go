package program

import "strings"

// Role tells who wrote a message.
type Role uint8

// Roles of messages.
const (
	// RoleSystem is the role of instructions to the model.
	RoleSystem Role = iota
	// RoleUser is the role of the agent's input.
	RoleUser
	// RoleAssistant is the role of text that the model generated.
	RoleAssistant
	// RoleTool is the role of a tool's result.
	RoleTool
	roleCount
)

const (
	// messageOverheadTokens is an upper bound for the tokens that an engine's chat
	// template adds to one message.
	messageOverheadTokens = 8
)

var roleNames = [...]string{"system", "user", "assistant", "tool"}

// Message is one message of a program's history. It is immutable.
type Message struct {
	role    Role
	content string
}

// NewMessage returns a message with the given role and content.
func NewMessage(role Role, content string) Message {
	return Message{role: role, content: content}
}

// ParseRole returns the role with the given name, or an error of KindInvalid when there
// is none.
func ParseRole(name string) (Role, error) {
	for i, n := range roleNames {
		if n == name {
			return Role(i), nil
		}
	}
	return 0, Errorf("parse role", KindInvalid, "role %q is not one of %s", name, strings.Join(roleNames[:], ", "))
}

// String returns the name of the role.
func (r Role) String() string {
	if r < roleCount {
		return roleNames[r]
	}
	return "unknown"
}

// Role returns who wrote the message.
func (m Message) Role() Role { return m.role }

// Content returns the text of the message.
func (m Message) Content() string { return m.content }

// MaxPromptTokens returns an upper bound for the tokens of the messages in a prompt: each
// token of a byte-level vocabulary stands for at least one byte.
func MaxPromptTokens(messages []Message) int64 {
	var tokens int64
	for _, m := range messages {
		tokens += int64(len(m.content)) + messageOverheadTokens
	}
	return tokens
}
