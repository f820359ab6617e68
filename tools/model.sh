#!/bin/sh
# Checks the ledger's model with Spin: it must hold with all rules, and each
# variant that omits one rule must fail.
set -u
OUT=${BUILD:-build}/model
MODEL=$(pwd)/test/model/ledger.pml
mkdir -p "$OUT"
cd "$OUT" || exit 1
# Succeeds if the model holds with the given options.
explore() {
	rm -f pan*
	spin -a $1 "$MODEL" >/dev/null || return 2
	gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=4000 -o pan pan.c 2>/dev/null ||
		return 2
	./pan -m200000 >pan.out
	grep -q 'errors: 0' pan.out
}
STATUS=0
if explore ""; then
	echo "all rules: holds, $(grep 'states, stored' pan.out | awk '{ print $1 }') states"
else
	echo "all rules: FAILS"
	STATUS=1
fi
for rule in NO_ACK NO_FIRST NO_LOST NO_OWED NO_SEAL; do
	if explore "-D$rule"; then
		echo "$rule: HOLDS, but must fail"
		STATUS=1
	else
		echo "$rule: fails as it must"
	fi
done
exit $STATUS
