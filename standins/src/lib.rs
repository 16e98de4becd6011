//! Small stand-ins for the platform and the backend servers, each on its own loopback port.
