"""Library of the apricotpath scheduler."""
