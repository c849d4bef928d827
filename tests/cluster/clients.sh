#!/usr/bin/env bash
# Other client libraries against a deployment: JDBC and psycopg2.
cd "$(dirname "$0")/../.."
GROUPS_TOTAL=1
. tests/cluster/cluster.sh
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends python3-psycopg2 libpostgresql-jdbc-java \
  default-jdk-headless >"$CLUSTER_DIR/logs/install" 2>&1 || fail "packages can't be installed: $CLUSTER_DIR/logs/install"
cluster_start >/dev/null
/usr/bin/python3 tests/clients/psycopg2_client.py "$(vm_address 9)" || fail psycopg2
javac -d "$CLUSTER_DIR" tests/clients/JdbcClient.java || fail "javac"
java -cp "/usr/share/java/postgresql.jar:$CLUSTER_DIR" JdbcClient "$(vm_address 9)" || fail jdbc
