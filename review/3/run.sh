#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" endless_body
