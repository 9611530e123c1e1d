"""Socket handling for clients, workers, discovery and peers. Policy decisions are made elsewhere."""
