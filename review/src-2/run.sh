# Sourced by the run.sh of each case: run_case FOLDER NAME starts the case NAME of target/review-2 and puts its record
# into FOLDER. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
run_case() {
  local folder=$1 name=$2 root work code
  root=$(cd "$folder/../.." && pwd)
  folder=$(cd "$folder" && pwd)
  cd "$root" || exit 2
  if [ ! -x target/flintrack ] || [ ! -x "target/review-2/$name" ]; then
    echo "build the programs and run review/build-2.sh first" >&2
    exit 2
  fi
  work=$(mktemp -d)
  timeout -s KILL 119 "target/review-2/$name" "$work" target/flintrack "${TROUBLE:-1}"
  code=$?
  cp "$work/record.txt" "$folder/record.txt"
  if [ -n "${KEEP_LOGS:-}" ]; then
    cp "$work"/log-*.txt "$folder/"
  fi
  rm -rf "$work"
  [ "$code" -le 1 ] || code=2
  exit "$code"
}
