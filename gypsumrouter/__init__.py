"""A router fleet for very many returning chats."""
