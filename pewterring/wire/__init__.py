"""The codec: lines of the wire to and from the types of pewterring.interface."""
