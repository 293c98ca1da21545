"""Stand-ins of the platform, the engines and the clients for the cases."""
