package configuration

// Model describes a model that engines serve.
type Model struct {
	config ModelConfig
}

// ModelConfig holds the contents of a Model.
type ModelConfig struct {
	// Name is the name of the model at the engines.
	Name string
	// Version is the model version that engines load.
	Version string
	// ContextTokens is the limit on the tokens of prompt and answer together; 0 means none.
	ContextTokens int64
}

// NewModel returns a Model with the given contents.
func NewModel(c ModelConfig) *Model { return &Model{config: c} }

// Name returns the name of the model at the engines.
func (m *Model) Name() string { return m.config.Name }

// Version returns the model version that engines load.
func (m *Model) Version() string { return m.config.Version }

// ContextTokens returns the limit on the tokens of prompt and answer together, 0 for none.
func (m *Model) ContextTokens() int64 { return m.config.ContextTokens }
