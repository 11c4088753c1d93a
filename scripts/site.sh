# Functions that start a site on loopback; sourced by the other scripts.
# They need the variables `work` (a folder), `bin` (the program) and `pids` (a list).

# Waits up to 20 s until a command succeeds.
until_ok() {
    local deadline=$((SECONDS + 20))
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $deadline ]; then echo "gave up waiting for: $*"; return 1; fi
        sleep 0.1
    done
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

free_base() {
    local base try
    for try in $(seq 50); do
        # Below the range from which outgoing connections take their ports.
        base=$((20000 + RANDOM % 12000))
        for offset in $(seq 1 60) $(seq 201 260); do
            port_is_free $((base + offset)) || continue 2
        done
        echo "$base"
        return
    done
    return 1
}

# Writes key and settings files: write_site VMS CONTROLS ZONE...
# The first CONTROLS of the VMS have the control role; zones are assigned in turn.
write_site() {
    local vms=$1 controls=$2 control="" n
    shift 2
    local zones=("$@")
    base=$(free_base)
    (umask 077; head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/key")
    for n in $(seq "$controls"); do
        control+="  - {node: $n, rpc: '127.0.0.1:$((base + 200 + n))'}"$'\n'
    done
    for n in $(seq "$vms"); do
        local roles="[entry]" data=""
        if [ "$n" -le "$controls" ]; then roles="[entry, control]"; data="data: data-$n"; fi
        cat >"$work/vm-$n.yaml" <<YAML
site: loopback
node: $n
zone: ${zones[$(((n - 1) % ${#zones[@]}))]}
roles: $roles
http: 127.0.0.1:$((base + n))
rpc: 127.0.0.1:$((base + 200 + n))
key-file: key
traffic-threads: ${threads:-0}
log-placements: ${placements:-true}
$data
control:
$control
YAML
        if [ "$n" -le "$controls" ]; then
            "$bin" data init --settings "$work/vm-$n.yaml" >/dev/null
        fi
    done
}

# Starts one VM of the site: start_vm NUMBER
start_vm() {
    "$bin" serve --settings "$work/vm-$1.yaml" >>"$work/vm-$1.log" 2>&1 &
    pids+=($!)
    vm_pid[$1]=$!
}

http_of() { echo "127.0.0.1:$((base + $1))"; }

# Runs an operator's command and waits until it is in force.
operator() {
    "$bin" command --entry "$(http_of "${operator_vm:-1}")" --key-file "$work/key" \
        --operator script --wait "$@"
}

# Runs a show statement.
show() {
    "$bin" command --entry "$(http_of "${operator_vm:-1}")" --key-file "$work/key" "show $1"
}
