#!/bin/sh
# A machine loses power right after it has acknowledged that an engine is gone.
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../run-case.sh" "$folder"
