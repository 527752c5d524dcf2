"""Small fakes and traces that the policy benchmark runs decisions over."""
