"""The control address: peers, operators and the own endpoint."""
