#!/bin/bash
exec node "$(dirname "$0")/case.mjs"
