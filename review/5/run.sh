#!/usr/bin/env bash
exec "$(dirname "$0")/../play.sh" "$(dirname "$0")" late_request
