package engine

import "container/list"

// cache is an LRU cache of the latest prompt of each program, bounded by the total
// number of tokens. It is not safe for concurrent use.
type cache struct {
	capacityTokens int64
	usedTokens     int64
	// elementByProgram holds the element of byRecency for each program.
	elementByProgram map[string]*list.Element
	// byRecency holds *cachedPrompt values, the most recently used first.
	byRecency *list.List
}

// cachedPrompt is the cached prompt of a program, including the last response.
type cachedPrompt struct {
	program  string
	messages []string
	// tokensByMessage holds the token count of each element of messages.
	tokensByMessage []int64
	// totalTokens is the sum of tokensByMessage.
	totalTokens int64
}

func newCache(capacityTokens int64) *cache {
	return &cache{capacityTokens: capacityTokens, elementByProgram: map[string]*list.Element{}, byRecency: list.New()}
}

// matchedTokens returns the number of tokens in the longest common prefix of messages
// and the cached prompt of the program, and marks the prompt as used.
func (c *cache) matchedTokens(program string, messages []string) int64 {
	element, ok := c.elementByProgram[program]
	if !ok {
		return 0
	}
	c.byRecency.MoveToFront(element)
	cached := element.Value.(*cachedPrompt)
	var matched int64
	for i, m := range messages {
		if i >= len(cached.messages) || cached.messages[i] != m {
			break
		}
		matched += cached.tokensByMessage[i]
	}
	return matched
}

// put replaces the cached prompt of a program and evicts the least recently used prompts
// to make room. A prompt larger than the capacity evicts all others and is not cached.
func (c *cache) put(program string, messages []string, tokensByMessage []int64) {
	c.remove(program)
	prompt := &cachedPrompt{program: program, messages: messages, tokensByMessage: tokensByMessage}
	for _, n := range tokensByMessage {
		prompt.totalTokens += n
	}
	for c.usedTokens+prompt.totalTokens > c.capacityTokens && c.byRecency.Len() > 0 {
		c.remove(c.byRecency.Back().Value.(*cachedPrompt).program)
	}
	if prompt.totalTokens > c.capacityTokens {
		return
	}
	c.usedTokens += prompt.totalTokens
	c.elementByProgram[program] = c.byRecency.PushFront(prompt)
}

// remove removes the cached prompt of a program, if there is one.
func (c *cache) remove(program string) {
	element, ok := c.elementByProgram[program]
	if !ok {
		return
	}
	c.usedTokens -= element.Value.(*cachedPrompt).totalTokens
	c.byRecency.Remove(element)
	delete(c.elementByProgram, program)
}

// tokensOf returns the size of the cached prompt of a program, or 0 if there is none.
func (c *cache) tokensOf(program string) int64 {
	element, ok := c.elementByProgram[program]
	if !ok {
		return 0
	}
	return element.Value.(*cachedPrompt).totalTokens
}
