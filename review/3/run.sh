#!/bin/sh
# A request that crashes the engines that run it comes again and again.
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../run-case.sh" "$folder"
