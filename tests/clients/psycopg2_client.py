"""Bookings through psycopg2: values bound by the client, transactions as contexts."""

import sys

import psycopg2


def rider_of(cursor, booking):
    cursor.execute("SELECT rider FROM bookings WHERE id = %s", (booking,))
    return cursor.fetchone()[0]


def main(address):
    connection = psycopg2.connect(host=address, port=5432, dbname="despacho-1", user="caller", sslmode="disable")
    with connection, connection.cursor() as cursor:
        cursor.execute(
            "INSERT INTO bookings (id, rider, place, created) VALUES (%s, %s, %s, %s)", ("psycopg2-1", "rider", "zocalo", 7)
        )
    with connection, connection.cursor() as cursor:
        assert rider_of(cursor, "psycopg2-1") == "rider"
        cursor.execute("UPDATE bookings SET rider = 'rolled-back' WHERE id = 'psycopg2-1'")
        connection.rollback()
        assert rider_of(cursor, "psycopg2-1") == "rider"
    connection.close()
    print("psycopg2 passed")


main(sys.argv[1])
