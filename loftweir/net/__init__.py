"""The real sidecar: epoll, HTTP and discovery round the decisions of loftweir.balance."""
