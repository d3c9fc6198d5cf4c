"""What decides whether an answer has ended complete, and whether another run goes on with it."""
