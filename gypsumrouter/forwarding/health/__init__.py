"""What is known of upstreams by how they respond, and what is asked of them."""
