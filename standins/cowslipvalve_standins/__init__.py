"""Development stand-ins and the programs that use them."""
