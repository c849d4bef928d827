import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;

/** Bookings through JDBC: often enough that the driver turns to named prepared statements and binary values. */
public class JdbcClient {
  private static final int BOOKINGS = 10;
  private static final long FIRST_CREATED = 1000;

  public static void main(String[] arguments) throws Exception {
    String url = "jdbc:postgresql://" + arguments[0] + ":5432/despacho-1?user=caller&sslmode=disable";
    try (Connection connection = DriverManager.getConnection(url)) {
      insert(connection);
      readBack(connection);
      commitAndRollBack(connection);
    }
    System.out.println("jdbc passed");
  }

  private static void insert(Connection connection) throws Exception {
    String sql = "INSERT INTO bookings (id, rider, place, created) VALUES (?, ?, ?, ?)";
    try (PreparedStatement statement = connection.prepareStatement(sql)) {
      for (int i = 0; i < BOOKINGS; i++) {
        statement.setString(1, "jdbc-" + i);
        statement.setString(2, "rider-" + i);
        statement.setString(3, "zocalo");
        statement.setLong(4, FIRST_CREATED + i);
        check(statement.executeUpdate() == 1, "one booking inserted");
      }
    }
  }

  private static void readBack(Connection connection) throws Exception {
    String sql = "SELECT id, created FROM bookings WHERE id = ?";
    try (PreparedStatement statement = connection.prepareStatement(sql)) {
      for (int i = 0; i < BOOKINGS; i++) {
        statement.setString(1, "jdbc-" + i);
        ResultSet rows = statement.executeQuery();
        check(rows.next(), "booking " + i + " is read back");
        check(rows.getLong(2) == FIRST_CREATED + i, "booking " + i + " is whole");
      }
    }
  }

  private static void commitAndRollBack(Connection connection) throws Exception {
    connection.setAutoCommit(false);
    String sql = "UPDATE bookings SET rider = ? WHERE id = 'jdbc-1'";
    try (PreparedStatement statement = connection.prepareStatement(sql)) {
      statement.setString(1, "rolled-back");
      statement.executeUpdate();
      connection.rollback();
      check(riderOf(connection).equals("rider-1"), "the rollback holds");
      statement.setString(1, "committed");
      statement.executeUpdate();
      connection.commit();
      check(riderOf(connection).equals("committed"), "the commit holds");
    }
  }

  private static String riderOf(Connection connection) throws Exception {
    ResultSet rows = connection.createStatement().executeQuery("SELECT rider FROM bookings WHERE id = 'jdbc-1'");
    rows.next();
    return rows.getString(1);
  }

  private static void check(boolean holds, String what) throws Exception {
    if (!holds) throw new Exception("failed: " + what);
  }
}
