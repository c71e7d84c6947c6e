"""Routes, their validation, and which one a request takes."""
