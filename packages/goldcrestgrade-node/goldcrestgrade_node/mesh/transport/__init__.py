"""Connections and messages between nodes, clients and endpoints."""
