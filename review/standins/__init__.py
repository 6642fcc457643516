"""Stand-ins of the platform that the scripts of this review start; no libraries."""
