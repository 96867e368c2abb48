//! The control plane's host: the operator's and the backends' API, the disk, and links to its peers.
