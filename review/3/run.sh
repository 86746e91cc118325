#!/usr/bin/env bash
# With TROUBLE=0 the case is played without its disruption.
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" endless_body
